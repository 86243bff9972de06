#include "batch/next_job.h"

#include <tuple>

namespace bronzecross {

std::optional<size_t> ChooseNextJob(std::span<const JobCandidate> candidates) {
  std::optional<size_t> best;
  const auto rank = [&](size_t i) {
    return std::tuple(candidates[i].m_workspace_held,
                      candidates[i].m_deadline.count(), candidates[i].m_job);
  };
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].m_ready_count > 0 && (!best || rank(i) < rank(*best))) {
      best = i;
    }
  }
  return best;
}

}  // namespace bronzecross
