#include "batch/next_job.h"

#include <tuple>

namespace bronzecross {

std::optional<size_t> ChooseNextJob(std::span<const JobOffer> offers) {
  std::optional<size_t> best;
  const auto rank = [&](size_t i) {
    return std::tuple(offers[i].m_workspace_held, offers[i].m_deadline.count(),
                      offers[i].m_job);
  };
  for (size_t i = 0; i < offers.size(); ++i) {
    if (offers[i].m_open > 0 && (!best || rank(i) < rank(*best))) {
      best = i;
    }
  }
  return best;
}

}  // namespace bronzecross
