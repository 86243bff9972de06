// Decides by which path a call reaches the key-value service. It answers the
// load of a service that turns this VM away while it serves others: the calls
// go through another VM until the direct path works again.

#ifndef BRONZECROSS_KV_STORE_PATH_H_
#define BRONZECROSS_KV_STORE_PATH_H_

#include "base/clock.h"

namespace bronzecross {

// What is known of the direct path.
struct StorePathState {
  // When the failures that still last began; zero: the last call succeeded.
  Millis m_failing_since;
  Millis m_last_direct_try;
};

// Direct failures for so long send calls through another VM. Shorter ones are
// single lost answers.
inline constexpr Millis kRelayAfter{600};

// How often the direct path is tried while calls go through another VM.
inline constexpr Millis kDirectRetryInterval{1'000};

void NoteDirectSuccess(StorePathState& state);
void NoteDirectFailure(StorePathState& state, Millis now);

bool IsDirectPathFailing(const StorePathState& state, Millis now);

// Whether the next call goes through another VM.
bool ShouldRelay(const StorePathState& state, Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_KV_STORE_PATH_H_
