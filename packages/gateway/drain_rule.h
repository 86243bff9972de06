// Decides which requests a draining VM still takes. What it takes gets a
// complete response before the process exits, so late requests that might
// outlast the drain are rejected at once: they haven't run, and another VM can
// serve them.

#ifndef BRONZECROSS_GATEWAY_DRAIN_RULE_H_
#define BRONZECROSS_GATEWAY_DRAIN_RULE_H_

#include "base/clock.h"

namespace bronzecross {

struct DrainTimes {
  // From then on, the load balancer sends no callers to this VM.
  Millis m_noticed;
  // The requests in progress end then.
  Millis m_ends;
};

// Returns the times of a drain that started at `started` and may take until
// `limit`.
DrainTimes MakeDrainTimes(Millis started, Millis limit);

// Returns whether to reject a request that arrives at `now` during a drain and
// may take until `deadline`.
bool ShouldRejectInDrain(const DrainTimes& drain, Millis now, Millis deadline);

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_DRAIN_RULE_H_
