// Decides how a call reaches the key-value service. It answers a service that
// is slow, that turns this VM away while it serves others, or that is away for
// all: calls go through another VM that reaches it, and while nobody does, one
// call at a time looks whether it is back.

#ifndef BRONZECROSS_KV_STORE_PATH_H_
#define BRONZECROSS_KV_STORE_PATH_H_

#include "base/clock.h"

namespace bronzecross {

// What is known of the direct path.
struct StorePathState {
  // When the failures that still last began; zero: the last call succeeded.
  Millis m_failing_since;
  // Moving average of the time to a reply.
  double m_reply_ms = 5;
  int m_timeouts = 0;  // calls without a reply since the last one
};

void NoteReply(StorePathState& state, Millis took);
// `timed_out`: no reply came in time, as against a refusal.
void NoteFailedCall(StorePathState& state, Millis now, bool timed_out);

inline bool IsFailing(const StorePathState& state) {
  return state.m_failing_since != Millis();
}

// How long a direct call is waited for if another VM may carry it instead. It
// follows the replies and doubles with each one that doesn't come, so that
// neither a slow service nor a lost reply costs much.
Millis DirectTimeout(const StorePathState& state);

// How long a watch may wait at a service that keeps its history for `history`.
// A watch that ends later can't be continued, and all must be read again.
Millis LongestWatch(Millis history);

enum class StorePath { kDirect, kRelay };

// The first path of a call. `is_probe`: the call is to find out whether the
// direct path works again.
StorePath FirstPath(const StorePathState& state, bool can_relay, bool is_probe);

}  // namespace bronzecross

#endif  // BRONZECROSS_KV_STORE_PATH_H_
