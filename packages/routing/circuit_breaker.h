// Circuit breaker: stops requests to a failing upstream and probes it with
// single requests until it has recovered.

#ifndef BRONZECROSS_ROUTING_CIRCUIT_BREAKER_H_
#define BRONZECROSS_ROUTING_CIRCUIT_BREAKER_H_

#include <cstdint>

#include "base/clock.h"

namespace bronzecross {

struct CircuitBreaker {
  int m_consecutive_failures = 0;
  // Exponentially decaying counts, to detect upstreams that fail only some of
  // their requests.
  double m_recent_failures = 0;
  double m_recent_responses = 0;
  Millis m_counted_at;
  // Zero: closed. Otherwise no requests are sent before this instant, and then
  // one probe (half-open).
  Millis m_open_until;
  Millis m_open_duration;
  Millis m_tripped_at;
  // When the pending probe was sent; zero: none is pending.
  Millis m_probe_at;
  Millis m_last_success;
};

// Returns true if a request may be sent now: the breaker is closed, or
// half-open without a pending probe.
bool AllowsRequest(const CircuitBreaker& breaker, Millis now);

inline bool IsOpen(const CircuitBreaker& breaker) {
  return breaker.m_open_until != Millis(0);
}

// Records that a request was sent; if the breaker is half-open, it is the
// probe.
void RecordSent(CircuitBreaker& breaker, Millis now);

// Records the outcome of a request. `failed` means a lost connection, a
// time-out or any 5xx status. Returns true if this outcome opened the breaker.
bool RecordOutcome(CircuitBreaker& breaker, bool failed, Millis now);

// Opens the breaker regardless of the counts, for a confirmed crash. Does
// nothing if it is already open and no probe is pending.
void OpenBreaker(CircuitBreaker& breaker, Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_ROUTING_CIRCUIT_BREAKER_H_
