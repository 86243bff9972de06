#include "orders/plan_loads.h"

#include <doctest/doctest.h>

#include "base/random.h"

namespace bronzecross {
namespace {

std::vector<ReplicaState> Replicas(size_t count) {
  std::vector<ReplicaState> replicas(count);
  for (size_t i = 0; i < count; ++i) {
    replicas[i].m_upstream = "e" + std::to_string(i);
    replicas[i].m_model = "m";
    replicas[i].m_version = "v1";
    replicas[i].m_reachable = true;
  }
  return replicas;
}

}  // namespace

TEST_CASE("the least busy outdated replica loads first") {
  std::vector<ReplicaState> replicas = Replicas(3);
  replicas[0].m_in_flight = 5;
  replicas[2].m_in_flight = 1;
  const std::vector<size_t> plan = PlanLoads(replicas, {"m", "v2", 1}, 1);
  REQUIRE(plan.size() == 1);
  CHECK(plan[0] == 1);
  replicas[1].m_version = "v2";
  replicas[2].m_version = "v2";
  replicas[0].m_version = "v2";
  CHECK(PlanLoads(replicas, {"m", "v2", 1}, 1).empty());
}

// Guards against a rollout that takes too many replicas of a model out of
// service or runs more loads at a time than the weight store allows, while
// replicas become unreachable and reachable again.
TEST_CASE(
    "a rollout keeps the minimum of ready replicas and the maximum of loads") {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    Random random(seed);
    std::vector<ReplicaState> replicas = Replicas(1 + RandomBelow(random, 15));
    const LoadGoal goal{"m", "v2",
                        static_cast<int64_t>(RandomBelow(random, 5))};
    const int64_t max_loads = 1 + static_cast<int64_t>(RandomBelow(random, 4));
    for (int step = 0; step < 200; ++step) {
      int64_t loading = 0;
      int64_t ready_before = 0;
      for (const ReplicaState& replica : replicas) {
        loading += replica.m_planned ? 1 : 0;
        ready_before += IsReady(replica, goal) ? 1 : 0;
      }
      for (const size_t index :
           PlanLoads(replicas, goal, max_loads - loading)) {
        replicas[index].m_planned = true;
        ++loading;
      }
      CHECK(loading <= max_loads);
      int64_t ready = 0;
      for (const ReplicaState& replica : replicas) {
        ready += IsReady(replica, goal) ? 1 : 0;
      }
      CHECK(ready >= std::min(ready_before, goal.m_min_ready));
      ReplicaState& changed = replicas[RandomBelow(random, replicas.size())];
      if (changed.m_planned) {
        changed.m_planned = false;
        changed.m_version = "v2";
      }
      // Makes a random replica unreachable or reachable.
      replicas[RandomBelow(random, replicas.size())].m_reachable =
          RandomBelow(random, 10) > 0;
    }
  }
}

}  // namespace bronzecross
