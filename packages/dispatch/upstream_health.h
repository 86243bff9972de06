// Passive health checking and ejection of upstreams, from the outcome of
// requests. Active health checks are not used, since each takes a slot and is
// billed.

#ifndef BRONZECROSS_DISPATCH_UPSTREAM_HEALTH_H_
#define BRONZECROSS_DISPATCH_UPSTREAM_HEALTH_H_

#include <set>

#include "base/clock.h"

namespace bronzecross {

// An upstream that has not sent the first response byte of a request within
// this time receives no further requests until it responds. Several times the
// usual latency target.
inline constexpr Millis kFirstByteTimeout{1'200};

struct UpstreamHealth {
  int m_failures = 0;      // consecutive
  Millis m_ejected_until;  // receives no requests before this instant
  // Send times of the requests that wait for the first response byte.
  std::multiset<Millis> m_awaiting_first_byte;
};

// Records a failed request: the connection could not be opened or broke, or the
// response was invalid.
void RecordFailure(UpstreamHealth& health, Millis now);
void RecordSuccess(UpstreamHealth& health);

// Returns true if the upstream may receive new requests. If its oldest request
// has waited for the first response byte for `first_byte_timeout`, the upstream
// receives none until it responds.
bool IsHealthy(const UpstreamHealth& health,
               Millis first_byte_timeout,
               Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_DISPATCH_UPSTREAM_HEALTH_H_
