#include "gateway/drain_rule.h"

#include <algorithm>

namespace bronzecross {
namespace {

// During a drain, the listener stays open for this long. The load balancer
// checks once per second and removes a VM after two failed checks.
constexpr Millis kDrainNotice{2'600};

}  // namespace

DrainTimes MakeDrainTimes(Millis started, Millis limit) {
  return {std::min(limit, started + kDrainNotice), limit};
}

bool ShouldRejectInDrain(const DrainTimes& drain, Millis now, Millis deadline) {
  return now >= drain.m_noticed && deadline > drain.m_ends;
}

}  // namespace bronzecross
