#include "kv/store_path.h"

#include <algorithm>

namespace bronzecross {
namespace {

// A reply that takes this many times the average is given up.
constexpr double kPatienceFactor = 8;

// Bounds of the time after which another VM is asked. The lower one leaves an
// acceptance time for a second path within its latency target.
constexpr double kShortestMs = 150;
constexpr double kLongestMs = 1'000;

// Weight of a new reply in the moving average.
constexpr double kNewWeight = 0.2;

}  // namespace

void NoteReply(StorePathState& state, Millis took) {
  state.m_failing_since = Millis();
  state.m_reply_ms = state.m_reply_ms * (1 - kNewWeight) +
                     static_cast<double>(took.count()) * kNewWeight;
}

void NoteFailedCall(StorePathState& state, Millis now, Millis took) {
  if (!IsFailing(state)) {
    state.m_failing_since = now;
  }
  // A call that was given up after some time would have taken longer still.
  const double waited = static_cast<double>(took.count());
  if (waited > state.m_reply_ms) {
    state.m_reply_ms =
        state.m_reply_ms * (1 - kNewWeight) + waited * kNewWeight;
  }
}

Millis DirectTimeout(const StorePathState& state) {
  return Millis(static_cast<int64_t>(
      std::clamp(state.m_reply_ms * kPatienceFactor, kShortestMs, kLongestMs)));
}

StorePath FirstPath(const StorePathState& state,
                    bool can_relay,
                    bool is_probe) {
  return IsFailing(state) && can_relay && !is_probe ? StorePath::kRelay
                                                    : StorePath::kDirect;
}

}  // namespace bronzecross
