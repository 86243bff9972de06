#include "jobs/job_placement.h"

#include <algorithm>

namespace bronzecross {
namespace {

// Below this load all items of a group run at once in the troughs of the online
// load, so that no other group is faster.
constexpr double kMinOwnLoad = 0.3;

// Difference of the loads from which a job is moved, within a zone and between
// zones. The ten items of a usual job are a fifth of a group's slots.
constexpr double kMinGain = 0.15;
constexpr double kMinGainAcrossZones = 0.25;

}  // namespace

double ComputeBatchLoad(int unfinished_items, int slots) {
  return static_cast<double>(unfinished_items) / std::max(slots, 1);
}

std::optional<size_t> ChooseJobHost(
    double own_load,
    std::span<const JobHostCandidate> candidates) {
  std::optional<size_t> best;
  if (own_load < kMinOwnLoad) {
    return best;
  }
  double best_surplus = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const JobHostCandidate& candidate = candidates[i];
    const double surplus =
        own_load - candidate.m_batch_load -
        (candidate.m_same_zone ? kMinGain : kMinGainAcrossZones);
    if (surplus > best_surplus) {
      best = i;
      best_surplus = surplus;
    }
  }
  return best;
}

}  // namespace bronzecross
