#include "placement/freeze_guard.h"

namespace bronzecross {
namespace {

bool IsLate(const FreezeGuard& guard, Millis now) {
  return guard.m_last_tick != Millis() &&
         now - guard.m_last_tick >= kFrozenAfter;
}

}  // namespace

bool DetectFreeze(FreezeGuard& guard, Millis now) {
  const bool was_frozen = IsLate(guard, now);
  if (was_frozen) {
    guard.m_hold_until = now + kMaxHold;
  }
  guard.m_last_tick = now;
  return was_frozen;
}

bool IsHeld(const FreezeGuard& guard, Millis now) {
  return now < guard.m_hold_until || IsLate(guard, now);
}

}  // namespace bronzecross
