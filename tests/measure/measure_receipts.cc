// Non-idempotent requests with keys from many callers, each resent through
// other VMs until it has a definite answer and once more at the end, while
// owners are killed and paused and the store loses answers.

#include <signal.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "base/random.h"
#include "harness/cluster.h"
#include "harness/percentile.h"
#include "measure/measurement.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr int kVms = 6;
constexpr int kCallers = 12;
constexpr Millis kDuration{24'000};
constexpr Millis kCallTimeout{12'000};
constexpr int kMaxSends = 20;
constexpr Millis kPauseFor{3000};

struct Sent {
  std::string m_id;
  // The body of the first 200 answer; empty: none.
  std::string m_accepted;
  // Every answer was a refusal that said "not_run".
  bool m_all_not_run = true;
  bool m_unknown = false;
  // A later answer differed from the accepted one.
  bool m_changed = false;
};

struct Tally {
  std::vector<Sent> m_sent;
  std::vector<double> m_latencies_ms;
};

enum class Answer { kAccepted, kUnknown, kNotRun, kNone };

Answer SendOnce(Cluster& cluster, int vm, Sent& sent) {
  const Result<HttpAnswer> answer = cluster.Caller().Call(
      "POST", cluster.Url(vm) + "/desk/receipts", Cluster::Key(0), sent.m_id,
      {{"Idempotency-Key", sent.m_id}}, kCallTimeout);
  if (!answer) {
    // A refused connection has sent nothing.
    sent.m_all_not_run =
        sent.m_all_not_run && answer.error().m_run == RunState::kNotRun;
    return Answer::kNone;
  }
  if (answer->m_status == 200) {
    sent.m_all_not_run = false;
    sent.m_changed =
        sent.m_changed || sent.m_unknown ||
        (!sent.m_accepted.empty() && sent.m_accepted != answer->m_body);
    sent.m_accepted = answer->m_body;
    return Answer::kAccepted;
  }
  if (FindHeader(answer->m_headers, "X-Bronzecross-Run") == "not_run") {
    return Answer::kNotRun;
  }
  sent.m_all_not_run = false;
  const json body = json::parse(answer->m_body, nullptr, false);
  return body.is_object() &&
                 body["error"].value("code", "") == "outcome_unknown"
             ? Answer::kUnknown
             : Answer::kNone;
}

// Sends until the answer is definite. A quarter of the requests stop at the
// first refusal, so that the truth of "not_run" is tested.
void SendUntilDefinite(Cluster& cluster, Random& random, Sent& sent) {
  const bool gives_up = RandomBelow(random, 4) == 0;
  for (int i = 0; i < kMaxSends; ++i) {
    const int vm = static_cast<int>(RandomBelow(random, kVms));
    const Answer answer = SendOnce(cluster, vm, sent);
    sent.m_unknown = sent.m_unknown || answer == Answer::kUnknown;
    if (answer == Answer::kAccepted || answer == Answer::kUnknown ||
        (gives_up && answer == Answer::kNotRun)) {
      break;
    }
    SleepFor(Millis(50));
  }
  if (!sent.m_accepted.empty() && RandomBelow(random, 2) == 0) {
    SendOnce(cluster, static_cast<int>(RandomBelow(random, kVms)), sent);
  }
}

Tally RunCaller(Cluster& cluster, int caller, uint64_t seed, Millis end) {
  Random random(seed * 1000 + static_cast<uint64_t>(caller));
  Tally tally;
  while (MonotonicNow() < end) {
    Sent sent;
    sent.m_id =
        std::to_string(caller) + "-" + std::to_string(tally.m_sent.size());
    const std::chrono::steady_clock::time_point start =
        std::chrono::steady_clock::now();
    SendUntilDefinite(cluster, random, sent);
    tally.m_latencies_ms.push_back(std::chrono::duration<double, std::milli>(
                                       std::chrono::steady_clock::now() - start)
                                       .count());
    tally.m_sent.push_back(std::move(sent));
  }
  return tally;
}

struct Injected {
  int m_kills = 0;
  int m_pauses = 0;
};

// One VM at a time is killed or paused, and comes back.
Injected Inject(Cluster& cluster, uint64_t seed, Millis end) {
  Random random(seed);
  Injected injected;
  KvFaults faults;
  faults.m_lose_answers = 0.2;
  cluster.Kv().SetFaults(faults);
  SleepFor(Millis(2000));
  while (MonotonicNow() + kPauseFor < end) {
    const int vm = static_cast<int>(RandomBelow(random, kVms));
    if (RandomBelow(random, 2) == 0) {
      ++injected.m_kills;
      cluster.Vm(vm).Kill();
      SleepFor(kPauseFor);
      cluster.StartVm(vm);
    } else {
      ++injected.m_pauses;
      cluster.Vm(vm).Pause();
      SleepFor(kPauseFor);
      cluster.Vm(vm).Resume();
    }
    SleepFor(Millis(1500));
  }
  cluster.Kv().SetFaults({});
  return injected;
}

int MeasureReceipts(uint64_t seed) {
  ClusterOptions options;
  options.m_vms = kVms;
  options.m_data_vms = 4;
  options.m_engines.clear();
  // Rate limits are not what is measured; reading all answers back would run
  // into them.
  options.m_rate_per_s = 1e6;
  options.m_burst = 1e6;
  options.m_seed = seed;
  Cluster cluster(options);
  const Millis end = MonotonicNow() + kDuration;
  std::vector<Tally> tallies(kCallers);
  std::vector<std::thread> threads;
  for (int caller = 0; caller < kCallers; ++caller) {
    threads.emplace_back([&cluster, &tallies, caller, seed, end] {
      tallies[static_cast<size_t>(caller)] =
          RunCaller(cluster, caller, seed, end);
    });
  }
  const Injected injected = Inject(cluster, seed, end);
  for (std::thread& thread : threads) {
    thread.join();
  }
  for (int vm = 0; vm < kVms; ++vm) {
    cluster.WaitReady(vm);
  }
  cluster.WaitLive(kVms);

  const std::map<std::string, int> runs = cluster.Service(0).RunsByBody();
  int64_t requests = 0;
  int64_t accepted = 0;
  int64_t unknown = 0;
  int64_t ran_twice = 0;
  std::atomic<int64_t> lost = 0;
  int64_t wrong_not_run = 0;
  std::vector<double> latencies;
  std::vector<Sent*> kept;
  for (Tally& tally : tallies) {
    latencies.insert(latencies.end(), tally.m_latencies_ms.begin(),
                     tally.m_latencies_ms.end());
    for (Sent& sent : tally.m_sent) {
      const auto found = runs.find(sent.m_id);
      const int count = found != runs.end() ? found->second : 0;
      ++requests;
      ran_twice += count > 1 ? 1 : 0;
      wrong_not_run += sent.m_all_not_run && count > 0 ? 1 : 0;
      unknown += sent.m_unknown ? 1 : 0;
      if (!sent.m_accepted.empty()) {
        ++accepted;
        kept.push_back(&sent);
      }
    }
  }
  // Every accepted answer must still be readable, through every kind of VM.
  std::vector<std::thread> readers;
  std::atomic<size_t> next = 0;
  const Millis read_end = MonotonicNow() + Millis(12'000);
  std::atomic<int64_t> checked = 0;
  for (int reader = 0; reader < kCallers; ++reader) {
    readers.emplace_back([&] {
      for (size_t i = next++; i < kept.size() && MonotonicNow() < read_end;
           i = next++) {
        Answer answer = Answer::kNone;
        for (int tries = 0; tries < 3 && answer != Answer::kAccepted; ++tries) {
          answer = SendOnce(cluster, static_cast<int>(i % kVms), *kept[i]);
        }
        ++checked;
        if (answer != Answer::kAccepted || kept[i]->m_changed) {
          ++lost;
          std::fprintf(stderr, "lost %s: answer %d, changed %d\n",
                       kept[i]->m_id.c_str(), static_cast<int>(answer),
                       kept[i]->m_changed ? 1 : 0);
        }
      }
    });
  }
  for (std::thread& reader : readers) {
    reader.join();
  }
  std::printf(
      "measure receipts requests=%lld accepted=%lld unknown=%lld "
      "ran_twice=%lld lost=%lld wrong_not_run=%lld read_back=%lld kills=%d "
      "pauses=%d p50_ms=%.1f p99_ms=%.0f\n",
      static_cast<long long>(requests), static_cast<long long>(accepted),
      static_cast<long long>(unknown), static_cast<long long>(ran_twice),
      static_cast<long long>(lost.load()),
      static_cast<long long>(wrong_not_run),
      static_cast<long long>(checked.load()), injected.m_kills,
      injected.m_pauses, Percentile(latencies, 50), Percentile(latencies, 99));
  return 0;
}

const MeasurementRegistration kRegistration("receipts", MeasureReceipts);

}  // namespace
}  // namespace bronzecross
