// Stops work to a failing upstream and probes it with single requests.

#ifndef BRONZECROSS_ROUTING_CIRCUIT_BREAKER_H_
#define BRONZECROSS_ROUTING_CIRCUIT_BREAKER_H_

#include <cstdint>

#include "base/clock.h"

namespace bronzecross {

struct CircuitBreaker {
  int m_failures_in_a_row = 0;
  // Decaying counts, for upstreams that fail a share of their requests.
  double m_recent_failures = 0;
  double m_recent_answers = 0;
  Millis m_counted_at;
  // Zero: closed. Otherwise no request before this instant, then one probe.
  Millis m_open_until;
  Millis m_open_for;
  Millis m_tripped_at;
  // When the probe under way was sent; zero: none.
  Millis m_probe_at;
  Millis m_last_success;
};

// Whether a request may be sent now: closed, or half-open without a probe.
bool AllowsRequest(const CircuitBreaker& breaker, Millis now);

inline bool IsOpen(const CircuitBreaker& breaker) {
  return breaker.m_open_until != Millis(0);
}

// Notes that a request is sent; on a half-open breaker it is the probe.
void NoteSent(CircuitBreaker& breaker, Millis now);

// Takes an outcome; `failed` is a lost connection, a time-out or any 5xx.
// Returns true if the breaker opened just now.
bool NoteOutcome(CircuitBreaker& breaker, bool failed, Millis now);

// Opens the breaker whatever the counts, for a confirmed death. Does nothing if
// it is open and not probed.
void OpenBreaker(CircuitBreaker& breaker, Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_ROUTING_CIRCUIT_BREAKER_H_
