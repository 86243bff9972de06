#include "dispatch/queue_order.h"

#include <algorithm>

namespace bronzecross {
namespace {

// Used until a service time has been measured.
constexpr double kDefaultServiceMs = 500;

// A rejection within 1/4 of the latency target counts as prompt.
constexpr int64_t kPromptRejectionDivisor = 4;

// Bounds of the retry-after time.
constexpr Millis kMinRetryAfter{100};
constexpr Millis kMaxRetryAfter{1'500};

}  // namespace

bool GoesBefore(const QueuedRequest& a, const QueuedRequest& b, Millis now) {
  if (a.m_priority != b.m_priority) {
    return a.m_priority < b.m_priority;
  }
  const bool a_on_time = now <= a.m_latest_on_time_start;
  const bool b_on_time = now <= b.m_latest_on_time_start;
  if (a_on_time != b_on_time) {
    return a_on_time;
  }
  return a_on_time ? a.m_latest_on_time_start < b.m_latest_on_time_start
                   : a.m_latest_start > b.m_latest_start;
}

Millis ExpectedWait(const QueueState& state) {
  if (state.m_slots <= 0) {
    return kMaxRetryAfter;
  }
  const double service =
      state.m_service_ms > 0 ? state.m_service_ms : kDefaultServiceMs;
  return Millis(
      static_cast<int64_t>(state.m_waiting * service / state.m_slots));
}

Millis MaxQueueWait(const QueueState& state,
                    Millis time_left,
                    Millis latency_target) {
  return state.m_slots > 0
             ? time_left
             : std::min(time_left, latency_target / kPromptRejectionDivisor);
}

bool ShouldReject(Millis expected_wait, Millis time_left, Millis service_time) {
  return expected_wait + service_time > time_left;
}

Millis RetryAfter(Millis expected_wait) {
  return std::clamp(expected_wait, kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace bronzecross
