#include "routing/circuit_breaker.h"

#include <algorithm>
#include <cmath>

namespace bronzecross {
namespace {

constexpr int kTripInARow = 3;
// Also opens when half of at least this many recent requests failed.
constexpr double kMinRecent = 10;
constexpr double kTripShare = 0.5;
constexpr double kWindowSeconds = 10;
constexpr Millis kFirstOpen{1000};
constexpr Millis kLongestOpen{8000};
// A probe without an outcome for this long is given up.
constexpr Millis kProbeLife{10'000};

void Decay(CircuitBreaker& breaker, Millis now) {
  const double factor =
      std::exp(-(now - breaker.m_counted_at).Seconds() / kWindowSeconds);
  breaker.m_recent_failures *= factor;
  breaker.m_recent_answers *= factor;
  breaker.m_counted_at = now;
}

void Open(CircuitBreaker& breaker, Millis now) {
  breaker.m_open_for = breaker.m_open_for == Millis(0)
                           ? kFirstOpen
                           : std::min(breaker.m_open_for * 2, kLongestOpen);
  breaker.m_open_until = now + breaker.m_open_for;
  breaker.m_tripped_at = now;
  breaker.m_probe_at = Millis(0);
}

}  // namespace

bool AllowsRequest(const CircuitBreaker& breaker, Millis now) {
  if (!IsOpen(breaker)) {
    return true;
  }
  return now >= breaker.m_open_until && (breaker.m_probe_at == Millis(0) ||
                                         now - breaker.m_probe_at > kProbeLife);
}

void NoteSent(CircuitBreaker& breaker, Millis now) {
  if (IsOpen(breaker)) {
    breaker.m_probe_at = now;
  }
}

bool NoteOutcome(CircuitBreaker& breaker, bool failed, Millis now) {
  Decay(breaker, now);
  breaker.m_recent_answers += 1;
  if (!failed) {
    // An answer to a request from before the trip does not close the breaker.
    if (!IsOpen(breaker) || breaker.m_probe_at != Millis(0)) {
      if (IsOpen(breaker)) {
        breaker.m_recent_failures = 0;
      } else {
        breaker.m_open_for = Millis(0);
      }
      breaker.m_open_until = Millis(0);
      breaker.m_probe_at = Millis(0);
    }
    breaker.m_failures_in_a_row = 0;
    breaker.m_last_success = now;
    return false;
  }
  breaker.m_recent_failures += 1;
  ++breaker.m_failures_in_a_row;
  const bool many =
      breaker.m_recent_answers >= kMinRecent &&
      breaker.m_recent_failures >= kTripShare * breaker.m_recent_answers;
  const bool probe_failed = IsOpen(breaker) && breaker.m_probe_at != Millis(0);
  if (probe_failed || (!IsOpen(breaker) &&
                       (breaker.m_failures_in_a_row >= kTripInARow || many))) {
    breaker.m_failures_in_a_row = 0;
    Open(breaker, now);
    return true;
  }
  return false;
}

void OpenBreaker(CircuitBreaker& breaker, Millis now) {
  if (!IsOpen(breaker) || breaker.m_probe_at != Millis(0)) {
    Open(breaker, now);
  }
}

}  // namespace bronzecross
