// Decides which waiting item runs first and which running item stands aside. It
// answers the load of peaks that leave batch less room than it needs: the items
// with least time to spare run on, so that few come late.

#ifndef BRONZECROSS_JOBS_ITEM_ORDER_H_
#define BRONZECROSS_JOBS_ITEM_ORDER_H_

#include <cstdint>

#include "base/clock.h"

namespace bronzecross {

struct ItemOutlook {
  Millis m_until_due;             // negative: it is late already
  int64_t m_expected_events = 0;  // of the whole output
  int64_t m_events = 0;           // generated so far
  double m_event_ms = 0;          // time for one event
};

// Time that the item needs at an upstream. One that has run beyond its expected
// length is expected to need a part of that again.
Millis RemainingTime(const ItemOutlook& outlook);

// Time to spare: negative if the item can't be done in time.
Millis Slack(const ItemOutlook& outlook);

// An item that is in time only if it runs on.
bool IsUrgent(const ItemOutlook& outlook);

// Finished items of a job are listed together, at most once in this time. Each
// listing is a write to the store, and only the state at `until_due` counts.
Millis ListingInterval(Millis until_due);

// Whether an item with slack `a` runs before one with slack `b`: those that can
// still be in time first, the most urgent of them before others.
bool RunsBefore(Millis a, Millis b);

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_ITEM_ORDER_H_
