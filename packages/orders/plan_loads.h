// Decides which replicas load a model version next.

#ifndef BRONZECROSS_ORDERS_PLAN_LOADS_H_
#define BRONZECROSS_ORDERS_PLAN_LOADS_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bronzecross {

// State of a replica as reported by its engine.
struct ReplicaState {
  std::string m_upstream;
  // Empty if nothing is loaded.
  std::string m_model;
  std::string m_version;
  bool m_reachable = false;
  bool m_loading = false;
  // Whether the half's record contains a load for the replica, started or not.
  bool m_planned = false;
  // Requests in flight on the replica, over all VMs.
  int64_t m_in_flight = 0;
};

// The version of a model that its replicas shall have, and the minimum number
// of ready replicas during the rollout.
struct LoadGoal {
  std::string_view m_model;
  std::string_view m_version;
  int64_t m_min_ready = 1;
};

// Returns whether the replica serves requests for the goal's model, in any
// version.
bool IsReady(const ReplicaState& replica, const LoadGoal& goal);

// Returns the indexes of the replicas whose load should start now, at most
// `max_new_loads`. Empty replicas come first, because loading them takes no
// ready replica out of service. They are followed by ready replicas with
// another version, the least busy first, as long as the goal's minimum of
// replicas stays ready. Unreachable replicas are skipped.
std::vector<size_t> PlanLoads(std::span<const ReplicaState> replicas,
                              const LoadGoal& goal,
                              int64_t max_new_loads);

}  // namespace bronzecross

#endif  // BRONZECROSS_ORDERS_PLAN_LOADS_H_
