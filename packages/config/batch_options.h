// Settings of batch processing.

#ifndef BRONZECROSS_CONFIG_BATCH_OPTIONS_H_
#define BRONZECROSS_CONFIG_BATCH_OPTIONS_H_

#include <cstdint>

#include "base/clock.h"

namespace bronzecross {

struct BatchOptions {
  // Fraction of an upstream's slots that batch and online requests together may
  // fill.
  double m_fill_target = 1;
  // Slots of an upstream that batch leaves free for online requests that arrive
  // before the dispatcher is informed of them.
  int64_t m_reserve_slots = 1;
  // Maximum number of items that this VM runs concurrently, over all upstreams.
  int64_t m_max_running = 256;
  // Timeout of one attempt of an item.
  Millis m_item_timeout{300'000};
};

}  // namespace bronzecross

#endif  // BRONZECROSS_CONFIG_BATCH_OPTIONS_H_
