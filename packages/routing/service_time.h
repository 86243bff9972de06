// Estimates the service time of an upstream from its responses.

#ifndef BRONZECROSS_ROUTING_SERVICE_TIME_H_
#define BRONZECROSS_ROUTING_SERVICE_TIME_H_

#include <cstdint>

#include "base/clock.h"

namespace bronzecross {

struct ServiceTime {
  double m_mean_ms = 0;
  // Responses included in the mean; zero: no estimate yet.
  int64_t m_responses = 0;
  Millis m_last_response;
};

// Records a response after `took` to a request that arrived when `load`
// requests were at the upstream with `slots` slots. The estimated wait for a
// slot is excluded.
void RecordResponse(ServiceTime& time,
                    Millis took,
                    double load,
                    int64_t slots,
                    Millis now);

// Returns the mean of two estimates, weighted by their responses up to a limit.
ServiceTime Combine(const ServiceTime& one, const ServiceTime& other);

}  // namespace bronzecross

#endif  // BRONZECROSS_ROUTING_SERVICE_TIME_H_
