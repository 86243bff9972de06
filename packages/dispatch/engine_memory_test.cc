#include "dispatch/engine_memory.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "dispatch/upstream.h"

namespace bronzecross {
namespace {

constexpr int64_t kCapacity = 72'000;

CandidateLoad LoadWithMemory(int online, int64_t free) {
  CandidateLoad load;
  load.m_slots = 8;
  load.m_online = online;
  load.m_free_tokens = free;
  return load;
}

TEST_CASE("a request is sent only where it fits, or where nothing runs") {
  CHECK(FreeTokens({0, 500'000, 3, 8}) == kNoTokenLimit);
  CHECK(FreeTokens({kCapacity, 0, 0, 8}) == 67'500);
  CHECK(FreeTokens({kCapacity, 67'499, 0, 8}) == 1);
  CHECK(FreeTokens({kCapacity, 70'000, 0, 8}) == 0);
  // Requests of unknown VMs count with the share of a slot.
  CHECK(FreeTokens({kCapacity, 9'000, 2, 8}) == 40'500);
  CHECK(FitsMemory(LoadWithMemory(3, 1'000), 1'000));
  CHECK_FALSE(FitsMemory(LoadWithMemory(3, 1'000), 1'001));
  CHECK(FitsMemory(LoadWithMemory(0, 1'000), 90'000));
  CHECK(FitsMemory(LoadWithMemory(8, kNoTokenLimit), 90'000));
  // A request whose tokens aren't known is placed as before.
  CHECK(FitsMemory(LoadWithMemory(3, 0), 0));
}

// Guards against batch items that fill the memory while slots are free for
// online requests.
TEST_CASE("a batch item leaves memory for an online request") {
  const EngineMemory memory = {kCapacity, 50'000, 0, 8};
  const CandidateLoad load = LoadWithMemory(3, FreeTokens(memory));
  CHECK(FitsMemoryAsItem(load, memory, 8'500));
  CHECK_FALSE(FitsMemoryAsItem(load, memory, 8'501));
  CHECK(FitsMemory(load, 17'500));
  CHECK(FitsMemoryAsItem(LoadWithMemory(0, 0), memory, 80'000));
  CHECK(FitsMemoryAsItem(load, {0, 0, 0, 8}, 1'000'000));
}

TEST_CASE("token counts of items neither overflow nor go below zero") {
  UpstreamEntry entry;
  entry.m_slots = 8;
  const UpstreamPtr upstream = std::make_shared<Upstream>(std::move(entry));
  upstream->m_memory_tokens = kCapacity;
  AddItem(*upstream, INT64_MAX);
  AddItem(*upstream, INT64_MAX);
  AddItem(*upstream, -5);
  CHECK(FreeTokens(MemoryOf(*upstream, Millis(1'000))) == 0);
  CHECK_FALSE(MayStartItem(*upstream, INT64_MAX, Millis(1'000)));
  RemoveItem(*upstream, -5);
  RemoveItem(*upstream, INT64_MAX);
  RemoveItem(*upstream, INT64_MAX);
  CHECK(upstream->m_tokens == 0);
  CHECK(upstream->m_batch == 0);
}

struct MemoryOutcome {
  int m_crashes = 0;  // requests that took an engine beyond its memory
  int m_placed = 0;
  int m_not_placed = 0;
};

// Ten VMs place requests of up to a third of an engine's memory at six engines,
// at a load that fills the memory but not the slots. Each VM learns of the
// others' tokens by gossip.
MemoryOutcome PlayMemory(bool knows_memory, uint64_t seed) {
  constexpr int kVms = 10;
  constexpr size_t kEngines = 6;
  constexpr int kStepMs = 10;
  constexpr int kRegularSteps = 10;
  constexpr int kEarlySteps = 2;
  struct Running {
    size_t m_vm = 0;
    size_t m_engine = 0;
    int64_t m_tokens = 0;
    int m_ends = 0;
  };
  Random random(seed);
  std::vector<std::vector<CandidateLoad>> known(
      kVms, std::vector<CandidateLoad>(kEngines, LoadWithMemory(0, 0)));
  std::vector<std::vector<int64_t>> tokens(kVms,
                                           std::vector<int64_t>(kEngines, 0));
  std::vector<int64_t> actual(kEngines, 0);
  std::vector<Running> running;
  MemoryOutcome outcome;
  bool announces = false;
  double due = 0;
  for (int step = 0; step < 3'000; ++step) {
    std::erase_if(running, [&](const Running& request) {
      if (request.m_ends > step) {
        return false;
      }
      actual[request.m_engine] -= request.m_tokens;
      tokens[request.m_vm][request.m_engine] -= request.m_tokens;
      --known[request.m_vm][request.m_engine].m_online;
      return true;
    });
    if (step % kRegularSteps == 0 || (announces && step % kEarlySteps == 0)) {
      announces = false;
      for (size_t vm = 0; vm < kVms; ++vm) {
        tokens[vm] = actual;
        for (size_t engine = 0; engine < kEngines; ++engine) {
          known[vm][engine].m_online = static_cast<int>(std::count_if(
              running.begin(), running.end(), [engine](const Running& request) {
                return request.m_engine == engine;
              }));
        }
      }
    }
    for (due += 25.0 * kStepMs / 1'000; due >= 1; due -= 1) {
      const size_t vm = RandomBelow(random, kVms);
      const int64_t need =
          500 + static_cast<int64_t>(RandomBelow(random, kCapacity / 3));
      std::vector<CandidateLoad> loads = known[vm];
      for (size_t engine = 0; engine < kEngines && knows_memory; ++engine) {
        loads[engine].m_free_tokens =
            FreeTokens({kCapacity, tokens[vm][engine], 0, 8});
        loads[engine].m_usable = FitsMemory(loads[engine], need);
      }
      if (!knows_memory) {
        for (CandidateLoad& load : loads) {
          load.m_free_tokens = kNoTokenLimit;
        }
      }
      const std::optional<size_t> choice = PickUpstream(loads, random);
      if (!choice) {
        ++outcome.m_not_placed;
        continue;
      }
      ++outcome.m_placed;
      actual[*choice] += need;
      tokens[vm][*choice] += need;
      ++known[vm][*choice].m_online;
      outcome.m_crashes += actual[*choice] > kCapacity ? 1 : 0;
      announces = announces ||
                  ShouldAnnounceTokens({kCapacity, tokens[vm][*choice], 0, 8});
      running.push_back({vm, *choice, need, step + 80});
    }
  }
  return outcome;
}

// Guards against VMs that each fill the same memory before they hear of the
// others, and against capacity that is left unused for that.
TEST_CASE("engines near their memory limit aren't taken beyond it") {
  MemoryOutcome without;
  MemoryOutcome with;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    for (const bool knows_memory : {false, true}) {
      const MemoryOutcome outcome = PlayMemory(knows_memory, seed);
      MemoryOutcome& sum = knows_memory ? with : without;
      sum.m_crashes += outcome.m_crashes;
      sum.m_placed += outcome.m_placed;
      sum.m_not_placed += outcome.m_not_placed;
    }
  }
  INFO("crashes ", without.m_crashes, " -> ", with.m_crashes, " placed ",
       without.m_placed, " -> ", with.m_placed, " not ", with.m_not_placed);
  CHECK(without.m_crashes > 200);
  CHECK(with.m_crashes * 50 <= without.m_crashes);
  CHECK(with.m_not_placed * 100 < with.m_placed);
}

}  // namespace
}  // namespace bronzecross
