// The decision which replicas load a model version next.

#ifndef BRONZECROSS_ORDERS_PLAN_LOADS_H_
#define BRONZECROSS_ORDERS_PLAN_LOADS_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bronzecross {

// What a replica's engine reported.
struct ReplicaState {
  std::string m_upstream;
  // Empty if nothing is loaded.
  std::string m_model;
  std::string m_version;
  bool m_reachable = false;
  bool m_loading = false;
  // A load of it is recorded, begun or not.
  bool m_planned = false;
  int64_t m_in_flight = 0;
};

struct LoadGoal {
  std::string_view m_model;
  std::string_view m_version;
  int64_t m_min_ready = 1;
};

// Whether the replica serves requests for the goal's model, in any version.
bool IsReady(const ReplicaState& replica, const LoadGoal& goal);

// The indexes of replicas whose load should begin now, at most `room` of them.
// Empty replicas come first, as they cost no coverage; then ready ones with
// another version, the least busy first, as long as the goal's minimum of other
// replicas stays ready. A replica that can't be reached gets no order.
std::vector<size_t> PlanLoads(std::span<const ReplicaState> replicas,
                              const LoadGoal& goal,
                              int64_t room);

}  // namespace bronzecross

#endif  // BRONZECROSS_ORDERS_PLAN_LOADS_H_
