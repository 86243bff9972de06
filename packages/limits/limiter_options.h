// Options of Limiter.

#ifndef BRONZECROSS_LIMITS_LIMITER_OPTIONS_H_
#define BRONZECROSS_LIMITS_LIMITER_OPTIONS_H_

#include "limits/slot_manager.h"

namespace bronzecross {

enum class LimitMode {
  kSlots,
  // Each known VM admits an equal share and lends no tokens. Kept as a baseline
  // for comparison; rejects requests that are within the limit when traffic is
  // uneven.
  kStatic,
};

struct LimiterOptions {
  LimitMode m_mode = LimitMode::kSlots;
  SlotManagerOptions m_slots;
  // Maximum time that a request waits for borrowed tokens.
  Millis m_borrow_wait{60};
};

}  // namespace bronzecross

#endif  // BRONZECROSS_LIMITS_LIMITER_OPTIONS_H_
