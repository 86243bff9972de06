#include "kv/store_path.h"

#include <algorithm>
#include <cmath>

namespace bronzecross {
namespace {

// A reply that takes this many times the average is given up.
constexpr double kPatienceFactor = 8;

// Bounds of the time after which another VM is asked. The lower one leaves an
// acceptance time for a second path within its latency target.
constexpr double kShortestMs = 150;
constexpr double kLongestMs = 1'000;

// Longest wait that the service accepts, less time on the way.
constexpr Millis kMostWatch{28'000};

// Time from the end of a watch to the arrival of the next one at the service.
constexpr Millis kContinueTime{1'500};
constexpr Millis kLeastWatch{1'000};

// Weight of a new reply in the moving average.
constexpr double kNewWeight = 0.2;

}  // namespace

void NoteReply(StorePathState& state, Millis took) {
  state.m_failing_since = Millis();
  state.m_timeouts = 0;
  state.m_reply_ms = state.m_reply_ms * (1 - kNewWeight) +
                     static_cast<double>(took.count()) * kNewWeight;
}

void NoteFailedCall(StorePathState& state, Millis now, bool timed_out) {
  if (!IsFailing(state)) {
    state.m_failing_since = now;
  }
  state.m_timeouts += timed_out ? 1 : 0;
}

Millis DirectTimeout(const StorePathState& state) {
  const double usual =
      std::max(state.m_reply_ms * kPatienceFactor, kShortestMs);
  const double patience = std::ldexp(usual, std::min(state.m_timeouts, 4));
  return Millis(static_cast<int64_t>(std::min(patience, kLongestMs)));
}

Millis LongestWatch(Millis history) {
  return std::clamp(history - kContinueTime, kLeastWatch, kMostWatch);
}

StorePath FirstPath(const StorePathState& state,
                    bool can_relay,
                    bool is_probe) {
  return IsFailing(state) && can_relay && !is_probe ? StorePath::kRelay
                                                    : StorePath::kDirect;
}

}  // namespace bronzecross
