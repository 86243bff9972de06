// Options of the limiter.

#ifndef BRONZECROSS_LIMITS_LIMITER_OPTIONS_H_
#define BRONZECROSS_LIMITS_LIMITER_OPTIONS_H_

#include "limits/slot_manager.h"

namespace bronzecross {

enum class LimitMode {
  kSlots,
  // Each known VM admits an equal share and none is lent. Kept to be compared
  // against; refuses wrongly when traffic is uneven.
  kStatic,
};

struct LimiterOptions {
  LimitMode m_mode = LimitMode::kSlots;
  SlotKeeperOptions m_slots;
  // How long a request waits for borrowed tokens.
  Millis m_borrow_wait{60};
};

}  // namespace bronzecross

#endif  // BRONZECROSS_LIMITS_LIMITER_OPTIONS_H_
