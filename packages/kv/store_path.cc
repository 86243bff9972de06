#include "kv/store_path.h"

#include <algorithm>
#include <cmath>

namespace bronzecross {
namespace {

// Ratio of the timeout of a direct call to the average reply time.
constexpr double kTimeoutFactor = 8;

// Bounds of the timeout after which a call is sent through another VM. The
// lower bound leaves enough of the latency target of an acceptance for a second
// path.
constexpr double kMinTimeoutMs = 150;
constexpr double kMaxTimeoutMs = 1'000;

// Longest wait that the service accepts, less the network latency.
constexpr Millis kMaxWatch{28'000};

// Time from the end of a watch until the next one arrives at the service.
constexpr Millis kWatchRestartTime{1'500};
constexpr Millis kMinWatch{1'000};

// Weight of a new reply time in the moving average.
constexpr double kNewReplyWeight = 0.2;

}  // namespace

void RecordReply(StorePathState& state, Millis took) {
  state.m_failing_since = Millis();
  state.m_timeouts = 0;
  state.m_reply_ms = state.m_reply_ms * (1 - kNewReplyWeight) +
                     static_cast<double>(took.count()) * kNewReplyWeight;
}

void RecordFailedCall(StorePathState& state, Millis now, bool timed_out) {
  if (!IsFailing(state)) {
    state.m_failing_since = now;
  }
  state.m_timeouts += timed_out ? 1 : 0;
}

Millis DirectTimeout(const StorePathState& state) {
  const double base_ms =
      std::max(state.m_reply_ms * kTimeoutFactor, kMinTimeoutMs);
  const double timeout_ms = std::ldexp(base_ms, std::min(state.m_timeouts, 4));
  return Millis(static_cast<int64_t>(std::min(timeout_ms, kMaxTimeoutMs)));
}

Millis MaxWatchWait(Millis history) {
  return std::clamp(history - kWatchRestartTime, kMinWatch, kMaxWatch);
}

StorePath FirstPath(const StorePathState& state,
                    bool can_relay,
                    bool is_probe) {
  return IsFailing(state) && can_relay && !is_probe ? StorePath::kRelay
                                                    : StorePath::kDirect;
}

}  // namespace bronzecross
