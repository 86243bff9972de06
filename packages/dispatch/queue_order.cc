#include "dispatch/queue_order.h"

#include <algorithm>

namespace bronzecross {
namespace {

// Used before a service time was measured.
constexpr double kDefaultServiceMs = 500;

// A refusal within this part of the latency target counts as prompt.
constexpr int64_t kPromptRefusalDivisor = 4;

// Bounds of the advice to come back.
constexpr Millis kShortestRetry{100};
constexpr Millis kLongestRetry{1'500};

}  // namespace

bool GoesBefore(const QueuedRequest& a, const QueuedRequest& b, Millis now) {
  if (a.m_priority != b.m_priority) {
    return a.m_priority < b.m_priority;
  }
  const bool a_on_time = now <= a.m_on_time_until;
  const bool b_on_time = now <= b.m_on_time_until;
  if (a_on_time != b_on_time) {
    return a_on_time;
  }
  return a_on_time ? a.m_on_time_until < b.m_on_time_until
                   : a.m_useful_until > b.m_useful_until;
}

Millis ExpectedWait(const QueueState& state) {
  if (state.m_slots <= 0) {
    return kLongestRetry;
  }
  const double service =
      state.m_service_ms > 0 ? state.m_service_ms : kDefaultServiceMs;
  return Millis(
      static_cast<int64_t>(state.m_waiting * service / state.m_slots));
}

Millis LongestWait(const QueueState& state,
                   Millis time_left,
                   Millis latency_target) {
  return state.m_slots > 0
             ? time_left
             : std::min(time_left, latency_target / kPromptRefusalDivisor);
}

bool ShouldRefuse(Millis expected_wait, Millis time_left, Millis service_time) {
  return expected_wait + service_time > time_left;
}

Millis RetryAfter(Millis expected_wait) {
  return std::clamp(expected_wait, kShortestRetry, kLongestRetry);
}

}  // namespace bronzecross
