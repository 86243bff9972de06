#include "orders/plan_loads.h"

#include <algorithm>

namespace bronzecross {

bool IsReady(const ReplicaState& replica, const LoadGoal& goal) {
  return replica.m_reachable && !replica.m_loading && !replica.m_planned &&
         replica.m_model == goal.m_model;
}

std::vector<size_t> PlanLoads(std::span<const ReplicaState> replicas,
                              const LoadGoal& goal,
                              int64_t max_new_loads) {
  std::vector<size_t> empty;
  std::vector<size_t> outdated;
  int64_t ready = 0;
  for (size_t i = 0; i < replicas.size(); ++i) {
    const ReplicaState& replica = replicas[i];
    ready += IsReady(replica, goal) ? 1 : 0;
    if (!replica.m_reachable || replica.m_loading || replica.m_planned) {
      continue;
    }
    if (replica.m_model.empty()) {
      empty.push_back(i);
    } else if (replica.m_model == goal.m_model &&
               replica.m_version != goal.m_version) {
      outdated.push_back(i);
    }
  }
  std::stable_sort(
      outdated.begin(), outdated.end(), [&](size_t left, size_t right) {
        return replicas[left].m_in_flight < replicas[right].m_in_flight;
      });
  // Ready replicas that can be taken out of service without going below the
  // minimum.
  const int64_t spare = std::max<int64_t>(0, ready - goal.m_min_ready);
  outdated.resize(std::min(outdated.size(), static_cast<size_t>(spare)));
  std::vector<size_t> plan = std::move(empty);
  plan.insert(plan.end(), outdated.begin(), outdated.end());
  plan.resize(std::min(
      plan.size(), static_cast<size_t>(std::max<int64_t>(0, max_new_loads))));
  return plan;
}

}  // namespace bronzecross
