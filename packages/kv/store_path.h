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
};

void NoteReply(StorePathState& state, Millis took);
// `took`: how long the failed call waited.
void NoteFailedCall(StorePathState& state, Millis now, Millis took);

inline bool IsFailing(const StorePathState& state) {
  return state.m_failing_since != Millis();
}

// How long a direct call is waited for if another VM may carry it instead. It
// follows the replies, so that a slow service isn't taken for a lost one.
Millis DirectTimeout(const StorePathState& state);

enum class StorePath { kDirect, kRelay };

// The first path of a call. `is_probe`: the call is to find out whether the
// direct path works again.
StorePath FirstPath(const StorePathState& state, bool can_relay, bool is_probe);

}  // namespace bronzecross

#endif  // BRONZECROSS_KV_STORE_PATH_H_
