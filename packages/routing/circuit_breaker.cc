#include "routing/circuit_breaker.h"

#include <algorithm>
#include <cmath>

namespace bronzecross {
namespace {

constexpr int kMaxConsecutiveFailures = 3;
// Also opens if half of the recent responses failed and there were at least
// this many.
constexpr double kMinRecentResponses = 10;
constexpr double kTripFailureRatio = 0.5;
constexpr double kWindowSeconds = 10;
constexpr Millis kInitialOpenDuration{1000};
constexpr Millis kMaxOpenDuration{8000};
// A probe without an outcome after this time counts as lost, and another may be
// sent.
constexpr Millis kProbeTimeout{10'000};

void Decay(CircuitBreaker& breaker, Millis now) {
  const double factor =
      std::exp(-(now - breaker.m_counted_at).Seconds() / kWindowSeconds);
  breaker.m_recent_failures *= factor;
  breaker.m_recent_responses *= factor;
  breaker.m_counted_at = now;
}

void Open(CircuitBreaker& breaker, Millis now) {
  breaker.m_open_duration =
      breaker.m_open_duration == Millis(0)
          ? kInitialOpenDuration
          : std::min(breaker.m_open_duration * 2, kMaxOpenDuration);
  breaker.m_open_until = now + breaker.m_open_duration;
  breaker.m_tripped_at = now;
  breaker.m_probe_at = Millis(0);
}

}  // namespace

bool AllowsRequest(const CircuitBreaker& breaker, Millis now) {
  if (!IsOpen(breaker)) {
    return true;
  }
  return now >= breaker.m_open_until &&
         (breaker.m_probe_at == Millis(0) ||
          now - breaker.m_probe_at > kProbeTimeout);
}

void RecordSent(CircuitBreaker& breaker, Millis now) {
  if (IsOpen(breaker)) {
    breaker.m_probe_at = now;
  }
}

bool RecordOutcome(CircuitBreaker& breaker, bool failed, Millis now) {
  Decay(breaker, now);
  breaker.m_recent_responses += 1;
  if (!failed) {
    // A response to a request sent before the breaker opened does not close it.
    if (!IsOpen(breaker) || breaker.m_probe_at != Millis(0)) {
      if (IsOpen(breaker)) {
        breaker.m_recent_failures = 0;
      } else {
        breaker.m_open_duration = Millis(0);
      }
      breaker.m_open_until = Millis(0);
      breaker.m_probe_at = Millis(0);
    }
    breaker.m_consecutive_failures = 0;
    breaker.m_last_success = now;
    return false;
  }
  breaker.m_recent_failures += 1;
  ++breaker.m_consecutive_failures;
  const bool failure_ratio_reached =
      breaker.m_recent_responses >= kMinRecentResponses &&
      breaker.m_recent_failures >=
          kTripFailureRatio * breaker.m_recent_responses;
  const bool probe_failed = IsOpen(breaker) && breaker.m_probe_at != Millis(0);
  if (probe_failed || (!IsOpen(breaker) && (breaker.m_consecutive_failures >=
                                                kMaxConsecutiveFailures ||
                                            failure_ratio_reached))) {
    breaker.m_consecutive_failures = 0;
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
