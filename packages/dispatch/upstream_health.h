// Passive health of an upstream, from the outcome of requests. Health calls
// take a slot and are priced, so none are made.

#ifndef BRONZECROSS_DISPATCH_UPSTREAM_HEALTH_H_
#define BRONZECROSS_DISPATCH_UPSTREAM_HEALTH_H_

#include <set>

#include "base/clock.h"

namespace bronzecross {

// An upstream that leaves a request without a byte for this long gets no
// further ones until it answers. Several times the usual latency target.
inline constexpr Millis kSilencePatience{1'200};

struct UpstreamHealth {
  int m_failures = 0;     // in a row
  Millis m_closed_until;  // gets no requests before this instant
  // Start times of requests that wait for their first byte.
  std::multiset<Millis> m_silent;
};

// A request failed at the upstream: it couldn't connect, the connection broke,
// or the answer was spoiled.
void NoteFailure(UpstreamHealth& health, Millis now);
void NoteSuccess(UpstreamHealth& health);

// Whether the upstream may get new requests. One whose oldest request has seen
// no byte for `patience` gets none until it speaks.
bool IsHealthy(const UpstreamHealth& health, Millis patience, Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_DISPATCH_UPSTREAM_HEALTH_H_
