// Chooses the path of a call to the key-value service: directly, or through
// another VM that reaches the service. This covers a service that is slow, one
// that rejects this VM while it serves others, and one that is unreachable for
// all VMs. In the last case only one call at a time probes whether the service
// is reachable again.

#ifndef BRONZECROSS_KV_STORE_PATH_H_
#define BRONZECROSS_KV_STORE_PATH_H_

#include "base/clock.h"

namespace bronzecross {

// Observed state of the direct path.
struct StorePathState {
  // Start of the current series of failures. Zero if the last call succeeded.
  Millis m_failing_since;
  // Moving average of the reply time.
  double m_reply_ms = 5;
  int m_timeouts = 0;  // calls without a reply since the last one
};

void RecordReply(StorePathState& state, Millis took);
// `timed_out`: whether the call got no reply in time, rather than a rejection.
void RecordFailedCall(StorePathState& state, Millis now, bool timed_out);

inline bool IsFailing(const StorePathState& state) {
  return state.m_failing_since != Millis();
}

// Timeout of a direct call that another VM can relay afterwards. It is a
// multiple of the average reply time and doubles with each timeout since the
// last reply, so that a slow service isn't mistaken for a lost one, and a
// single lost reply doesn't make later calls wait long.
Millis DirectTimeout(const StorePathState& state);

// Maximum wait of a watch at a service that keeps its history for `history`.
// After a longer wait the watch can't be continued, and all keys must be read
// again.
Millis MaxWatchWait(Millis history);

enum class StorePath { kDirect, kRelay };

// Returns the path that a call tries first. `is_probe`: whether the call checks
// if the direct path works again.
StorePath FirstPath(const StorePathState& state, bool can_relay, bool is_probe);

}  // namespace bronzecross

#endif  // BRONZECROSS_KV_STORE_PATH_H_
