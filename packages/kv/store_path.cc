#include "kv/store_path.h"

namespace bronzecross {

void NoteDirectSuccess(StorePathState& state) {
  state.m_failing_since = Millis();
}

void NoteDirectFailure(StorePathState& state, Millis now) {
  if (state.m_failing_since == Millis()) {
    state.m_failing_since = now;
  }
}

bool IsDirectPathFailing(const StorePathState& state, Millis now) {
  return state.m_failing_since != Millis() &&
         now - state.m_failing_since >= kRelayAfter;
}

bool ShouldRelay(const StorePathState& state, Millis now) {
  return IsDirectPathFailing(state, now) &&
         now - state.m_last_direct_try < kDirectRetryInterval;
}

}  // namespace bronzecross
