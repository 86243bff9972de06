// Holds new requests back after the process was frozen, until it has read what
// changed meanwhile: a zone may have been evacuated.

#ifndef BRONZECROSS_PLACEMENT_FREEZE_GUARD_H_
#define BRONZECROSS_PLACEMENT_FREEZE_GUARD_H_

#include "base/clock.h"

namespace bronzecross {

// A process whose regular task is late by this much counts as frozen. Shorter
// pauses happen under load, and delay a change by less than its bound.
inline constexpr Millis kFrozenAfter{1'500};

// Maximum time that requests are held, so that a VM that can't reach the store
// goes on with what it knows.
inline constexpr Millis kMaxHold{400};

struct FreezeGuard {
  Millis m_last_tick;   // of the regular task; zero before the first one
  Millis m_hold_until;  // no request is sent before this instant
};

// Must be called by a regular task. Returns whether the process was frozen
// since the last call; the changes must be read then.
bool DetectFreeze(FreezeGuard& guard, Millis now);

// Whether requests are held. Also true right after a freeze, before the regular
// task has run.
bool IsHeld(const FreezeGuard& guard, Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_PLACEMENT_FREEZE_GUARD_H_
