// Plays the load that prompt affinity is meant for, with simulated engines that
// cache prompts, and checks when callers get their first event.

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <list>
#include <queue>
#include <string>
#include <vector>

#include "dispatch/prompt_affinity.h"

namespace bronzecross {
namespace {

constexpr size_t kVmsPerGroup = 10;
constexpr size_t kEngines = 54;
constexpr int kSlots = 8;
constexpr int64_t kMemoryTokens = 72'000;
constexpr double kTokensPerMs = 75;
constexpr double kEventMs = 3;
constexpr int kEvents = 19;
constexpr int64_t kDurationMs = 150'000;

struct LoadOptions {
  bool m_affinity = true;
  size_t m_groups = 6;  // of VMs, which share the engines
  double m_rate_per_s = 190;
  uint64_t m_shared_parts = 16;
  uint64_t m_sessions = 2'500;
  // Interval at which an engine loses its cache; zero: none does. `m_restarts`:
  // the VMs are told.
  int64_t m_loss_interval_ms = 0;
  bool m_restarts = true;
  uint64_t m_seed = 5;
};

struct LoadResult {
  double m_prefilled = 0;  // share of the tokens of shared parts
  int m_overfilled = 0;    // requests sent to an engine without a free slot
  double m_mean_first_ms = 0;
  double m_p99_first_ms = 0;
  double m_busiest = 0;  // requests of the busiest engine, by the mean
};

// Evicts the least recently used parts and reads one prompt after another.
struct CachingEngine {
  std::list<ChainedPart> m_cache;  // most recently used first
  absl::flat_hash_map<uint32_t, std::list<ChainedPart>::iterator> m_by_prefix;
  int64_t m_tokens = 0;
  uint32_t m_run_key = 0;
  int m_running = 0;
  int m_requests = 0;
  double m_prefill_end = 0;

  void LoseCache() {
    m_cache.clear();
    m_by_prefix.clear();
    m_tokens = 0;
  }

  // Returns the number of parts that are held, and takes all of them in.
  size_t Read(const PromptChain& prompt) {
    size_t held = 0;
    while (held < prompt.size() &&
           m_by_prefix.contains(prompt[held].m_prefix)) {
      ++held;
    }
    for (auto part = prompt.rbegin(); part != prompt.rend(); ++part) {
      const auto found = m_by_prefix.find(part->m_prefix);
      if (found != m_by_prefix.end()) {
        m_cache.splice(m_cache.begin(), m_cache, found->second);
        continue;
      }
      m_cache.push_front(*part);
      m_by_prefix[part->m_prefix] = m_cache.begin();
      m_tokens += part->m_tokens;
    }
    while (m_tokens > kMemoryTokens) {
      m_tokens -= m_cache.back().m_tokens;
      m_by_prefix.erase(m_cache.back().m_prefix);
      m_cache.pop_back();
    }
    return held;
  }
};

struct EntryVm {
  PromptCacheView m_view;
  std::vector<int> m_own = std::vector<int>(kEngines);
  // Requests of the other VMs by their last gossip.
  std::vector<int> m_peers = std::vector<int>(kEngines);
};

struct RunningRequest {
  double m_next = 0;  // time of the first event, then of the end
  double m_end = 0;
  bool m_has_begun = false;
  size_t m_group = 0;
  size_t m_vm = 0;
  size_t m_engine = 0;
  uint32_t m_run_key = 0;
  PromptChain m_prompt;
  bool operator<(const RunningRequest& other) const {
    return m_next > other.m_next;
  }
};

class Play {
 public:
  explicit Play(const LoadOptions& options) : m_options(options) {
    for (size_t group = 0; group < m_options.m_groups; ++group) {
      for (CachingEngine& engine : m_engines[group]) {
        engine.m_run_key = ++m_last_key;
      }
    }
  }

  LoadResult Run() {
    double next_arrival = 0;
    for (m_now = 0; m_now < kDurationMs; ++m_now) {
      EndRequests();
      if (m_options.m_loss_interval_ms > 0 &&
          m_now % m_options.m_loss_interval_ms == 0) {
        CachingEngine& engine =
            m_engines[RandomBelow(m_random, m_options.m_groups)]
                     [RandomBelow(m_random, m_engines_per_group)];
        engine.LoseCache();
        engine.m_run_key =
            m_options.m_restarts ? ++m_last_key : engine.m_run_key;
      }
      if (m_now % 10 == 0) {
        SendGossip(static_cast<size_t>(m_now / 10) % kVmsPerGroup);
      }
      while (next_arrival <= static_cast<double>(m_now)) {
        next_arrival -=
            std::log(1 - RandomUnit(m_random)) * 1'000 / m_options.m_rate_per_s;
        Place();
      }
    }
    return Result();
  }

 private:
  Millis Now() const { return Millis(1'000'000 + m_now); }

  void EndRequests() {
    while (!m_running.empty() &&
           m_running.top().m_next <= static_cast<double>(m_now)) {
      RunningRequest request = m_running.top();
      m_running.pop();
      EntryVm& vm = m_vms[request.m_group][request.m_vm];
      if (request.m_has_begun) {
        --vm.m_own[request.m_engine];
        --m_engines[request.m_group][request.m_engine].m_running;
        continue;
      }
      if (m_options.m_affinity) {
        vm.m_view.OnResponse(request.m_run_key, request.m_prompt, Now());
      }
      request.m_has_begun = true;
      request.m_next = request.m_end;
      m_running.push(request);
    }
  }

  // One VM of each group sends its gossip, each every 100 ms.
  void SendGossip(size_t sender) {
    for (std::vector<EntryVm>& group : m_vms) {
      GossipMessage gossip;
      group[sender].m_view.AddToGossip(gossip, Now());
      for (size_t vm = 0; vm < kVmsPerGroup; ++vm) {
        if (vm != sender) {
          group[vm].m_view.OnGossip(gossip, Now());
        }
      }
      for (size_t engine = 0; engine < m_engines_per_group; ++engine) {
        int sum = -group[sender].m_own[engine];
        for (const EntryVm& vm : group) {
          sum += vm.m_own[engine];
        }
        group[sender].m_peers[engine] = sum;
      }
    }
  }

  void Place() {
    const size_t group = RandomBelow(m_random, m_options.m_groups);
    const size_t index = RandomBelow(m_random, kVmsPerGroup);
    EntryVm& vm = m_vms[group][index];
    const uint64_t session = RandomBelow(m_random, m_options.m_sessions);
    const platform::PromptPart parts[] = {
        {session % m_options.m_shared_parts, 100},
        {1'000'000 + session, 100},
        {10'000'000 + ++m_requests, 250}};
    const PromptChain prompt = ChainParts(parts, true);
    const PromptAffinity affinity{m_options.m_affinity ? &vm.m_view : nullptr,
                                  kTokensPerMs};
    std::vector<CandidateLoad> loads(m_engines_per_group);
    std::vector<uint32_t> run_keys(m_engines_per_group);
    for (size_t i = 0; i < m_engines_per_group; ++i) {
      loads[i].m_slots = kSlots;
      loads[i].m_online = vm.m_own[i] + vm.m_peers[i];
      loads[i].m_work_ms = kEventMs;
      loads[i].m_same_zone = true;
      run_keys[i] = m_engines[group][i].m_run_key;
    }
    SetSavings(affinity, run_keys, prompt, loads, Now());
    const std::optional<size_t> choice = PickUpstream(loads, m_random);
    REQUIRE(choice);
    CachingEngine& engine = m_engines[group][*choice];
    if (m_options.m_affinity) {
      vm.m_view.OnSent(engine.m_run_key, kMemoryTokens, prompt, Now());
    }
    m_result.m_overfilled += engine.m_running >= kSlots ? 1 : 0;
    double tokens = 0;
    for (size_t i = engine.Read(prompt); i < prompt.size(); ++i) {
      tokens += static_cast<double>(prompt[i].m_tokens);
      m_prefilled += prompt[i].m_shared ? prompt[i].m_tokens : 0;
    }
    ++vm.m_own[*choice];
    ++engine.m_running;
    ++engine.m_requests;
    const double now = static_cast<double>(m_now);
    engine.m_prefill_end =
        std::max(now, engine.m_prefill_end) + tokens / kTokensPerMs;
    const double step = kEventMs * (0.6 + 0.1 * engine.m_running);
    const double first = engine.m_prefill_end + step;
    m_first_ms.push_back(first - now);
    m_running.push({first, first + kEvents * step, false, group, index, *choice,
                    engine.m_run_key, prompt});
  }

  LoadResult Result() {
    std::sort(m_first_ms.begin(), m_first_ms.end());
    const double count = static_cast<double>(m_first_ms.size());
    for (const double first : m_first_ms) {
      m_result.m_mean_first_ms += first / count;
    }
    m_result.m_p99_first_ms = m_first_ms[m_first_ms.size() * 99 / 100];
    m_result.m_prefilled = static_cast<double>(m_prefilled) / (count * 200);
    for (const std::vector<CachingEngine>& group : m_engines) {
      for (const CachingEngine& engine : group) {
        m_result.m_busiest =
            std::max(m_result.m_busiest, engine.m_requests * kEngines / count);
      }
    }
    MESSAGE("affinity ", m_options.m_affinity, ": prefilled again ",
            m_result.m_prefilled, ", first event ", m_result.m_mean_first_ms,
            " ms, p99 ", m_result.m_p99_first_ms, " ms, busiest engine ",
            m_result.m_busiest);
    return m_result;
  }

  const LoadOptions m_options;
  const size_t m_engines_per_group = kEngines / m_options.m_groups;
  Random m_random{m_options.m_seed};
  int64_t m_now = 0;
  uint64_t m_requests = 0;
  uint32_t m_last_key = 0;
  int64_t m_prefilled = 0;  // tokens of shared parts
  std::vector<double> m_first_ms;
  std::vector<std::vector<EntryVm>> m_vms{m_options.m_groups,
                                          std::vector<EntryVm>(kVmsPerGroup)};
  std::vector<std::vector<CachingEngine>> m_engines{
      m_options.m_groups, std::vector<CachingEngine>(m_engines_per_group)};
  std::priority_queue<RunningRequest> m_running;
  LoadResult m_result;
};

// Plays the load with and without affinity, and checks that no caller is worse
// off. A first event may be later by a small part of a step.
std::pair<LoadResult, LoadResult> Compare(LoadOptions options) {
  const LoadResult on = Play(options).Run();
  options.m_affinity = false;
  const LoadResult off = Play(options).Run();
  CHECK(on.m_overfilled == 0);
  CHECK(on.m_busiest < 1.5);
  CHECK(on.m_mean_first_ms < off.m_mean_first_ms + 0.05);
  CHECK(on.m_p99_first_ms < off.m_p99_first_ms + 0.1);
  return {on, off};
}

// Guards against sessions whose prompts are read again by each engine.
TEST_CASE("many sessions are read again less often and begin earlier") {
  for (const double rate : {190.0, 355.0}) {
    LoadOptions options;
    options.m_rate_per_s = rate;
    const auto [on, off] = Compare(options);
    CHECK(on.m_prefilled < 0.8 * off.m_prefilled);
    CHECK(on.m_mean_first_ms < off.m_mean_first_ms - 0.2);
  }
}

// A VM group that has all engines finds a session's engine again. Divided
// groups see a session too rarely for that.
TEST_CASE("in a fleet of one group half as many tokens are read again") {
  LoadOptions options;
  options.m_groups = 1;
  const auto [on, off] = Compare(options);
  CHECK(on.m_prefilled < 0.5 * off.m_prefilled);
}

// Guards against VMs that all send a popular prompt to the engine that had it
// first.
TEST_CASE("one popular prompt spreads over the engines") {
  for (const uint64_t seed : {5, 6, 7, 8}) {
    LoadOptions options;
    options.m_shared_parts = 1;
    options.m_sessions = 1;
    options.m_seed = seed;
    Compare(options);
  }
}

// Guards against callers who wait at the engines that still have their cache,
// and at those that lost it while the VMs don't know.
TEST_CASE("engines that restart or lose their cache unnoticed delay nobody") {
  for (const bool restarts : {true, false}) {
    LoadOptions options;
    options.m_loss_interval_ms = 500;
    options.m_restarts = restarts;
    const auto [on, off] = Compare(options);
    CHECK(on.m_prefilled < off.m_prefilled);
  }
}

CandidateLoad LoadOf(int online, int batch, double saved_ms) {
  CandidateLoad load;
  load.m_slots = kSlots;
  load.m_online = online;
  load.m_batch = batch;
  load.m_work_ms = kEventMs;
  load.m_same_zone = true;
  load.m_saved_ms = saved_ms;
  return load;
}

// Guards against a cached prompt that outweighs a queue.
TEST_CASE(
    "no saving makes up for more than one request, or for a full engine") {
  Random random(1);
  for (int i = 0; i < 200; ++i) {
    CHECK(PickUpstream(std::vector{LoadOf(2, 0, 2), LoadOf(2, 0, 0)}, random) ==
          0);
    CHECK(PickUpstream(std::vector{LoadOf(4, 0, 1e9), LoadOf(2, 0, 0)},
                       random) == 1);
    CHECK(PickUpstream(std::vector{LoadOf(8, 0, 1e9), LoadOf(7, 0, 0)},
                       random) == 1);
  }
  PromptCacheView view;
  const platform::PromptPart part{1, 70'000};
  const PromptChain prompt = ChainParts(std::span(&part, 1), true);
  view.OnResponse(1, prompt, Millis(1));
  const PromptAffinity affinity{&view, kTokensPerMs};
  std::vector<CandidateLoad> loads = {LoadOf(7, 0, 0), LoadOf(3, 5, 0),
                                      LoadOf(0, 0, 0), LoadOf(0, 0, 0)};
  const uint32_t run_keys[] = {1, 1, 1, 2};
  loads[2].m_slow = true;
  SetSavings(affinity, run_keys, prompt, loads, Millis(1));
  CHECK(loads[0].m_saved_ms == doctest::Approx(70'000 / kTokensPerMs / 9));
  CHECK(loads[1].m_saved_ms == 0);
  CHECK(loads[2].m_saved_ms == 0);
  CHECK(loads[3].m_saved_ms == 0);
}

// The picks are those of the version before prompt affinity. Guards against
// another order of the random numbers, too.
TEST_CASE("without affinity the same upstreams are picked as before") {
  Random random(9);
  PromptCacheView view;
  const platform::PromptPart part{1, 70'000};
  const PromptChain prompt = ChainParts(std::span(&part, 1), true);
  view.OnResponse(1, prompt, Millis(1));
  std::vector<CandidateLoad> loads;
  std::vector<uint32_t> run_keys;
  for (int i = 0; i < 6; ++i) {
    loads.push_back(LoadOf(i % 3, i % 2, 0));
    loads.back().m_work_ms = 20 + i;
    loads.back().m_same_zone = i != 4;
    run_keys.push_back(static_cast<uint32_t>(i));
  }
  std::string picks;
  for (int i = 0; i < 24; ++i) {
    SetSavings({}, run_keys, prompt, loads, Millis(1));
    SetSavings({&view, kTokensPerMs}, run_keys, {}, loads, Millis(1));
    const size_t choice = *PickUpstream(loads, random);
    ++loads[choice].m_online;
    picks += static_cast<char>('0' + choice);
  }
  CHECK(picks == "003401234012340512304512");
}

}  // namespace
}  // namespace bronzecross
