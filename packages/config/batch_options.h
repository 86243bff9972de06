// Settings of the batch part.

#ifndef BRONZECROSS_CONFIG_BATCH_OPTIONS_H_
#define BRONZECROSS_CONFIG_BATCH_OPTIONS_H_

#include <cstdint>

#include "base/clock.h"

namespace bronzecross {

struct BatchOptions {
  // Share of an upstream's slots that batch and online together may fill.
  double m_fill_target = 1;
  // Slots of an upstream that batch leaves free for online requests which
  // arrive before the dispatcher learns of them.
  int64_t m_reserve_slots = 1;
  // Items that this VM runs at once, over all upstreams.
  int64_t m_max_running = 256;
  // For one try of an item.
  Millis m_item_timeout{300'000};
};

}  // namespace bronzecross

#endif  // BRONZECROSS_CONFIG_BATCH_OPTIONS_H_
