#include "placement/cold_state.h"

#include <algorithm>

namespace bronzecross {

bool IsCold(const ColdState& state, const ColdLimits& limits, Millis now) {
  return limits.m_per_s > 0 && limits.m_duration > Millis() &&
         now < state.m_until;
}

void RecordColdEntry(ColdState& state, Millis left, Millis now) {
  const Millis until = left > Millis() ? now + left : Millis();
  state.m_until = now < state.m_distrust_entries_until
                      ? std::max(state.m_until, until)
                      : until;
}

void RecordColdResponse(ColdState& state, Millis left, Millis now) {
  if (left <= Millis()) {
    state = ColdState();
    return;
  }
  state.m_until = now + left;
  state.m_distrust_entries_until = now + kMaxEntryAge;
}

void RecordZoneReturn(ColdState& state,
                      const ColdLimits& limits,
                      Millis returned) {
  if (limits.m_per_s <= 0 || limits.m_duration <= Millis()) {
    return;
  }
  state.m_until = std::max(state.m_until, returned + limits.m_duration);
  state.m_distrust_entries_until =
      std::max(state.m_distrust_entries_until, returned + kMaxEntryAge);
}

}  // namespace bronzecross
