// Decides which waiting item runs first and which running item is preempted.
// Peaks of online load can leave batch fewer slots than it needs. The items
// with the least slack then keep their slots, so that few items are late.

#ifndef BRONZECROSS_JOBS_ITEM_ORDER_H_
#define BRONZECROSS_JOBS_ITEM_ORDER_H_

#include <cstdint>

#include "base/clock.h"

namespace bronzecross {

// Input for the estimate of the remaining time of an item.
struct ItemEstimate {
  Millis m_until_due;             // negative: the due time has passed
  int64_t m_expected_events = 0;  // of the whole output
  int64_t m_events = 0;           // generated so far
  double m_event_ms = 0;          // milliseconds for one event
};

// Returns the time that the item still needs at an upstream. The result never
// falls below a fixed fraction of the time for the whole expected output,
// because an item can generate more events than expected.
Millis RemainingTime(const ItemEstimate& estimate);

// Returns the time until the due time minus the remaining time. A negative
// slack means that the item is expected to finish late.
Millis Slack(const ItemEstimate& estimate);

// Returns whether the item can still be in time, but only if it is not
// preempted.
bool IsUrgent(const ItemEstimate& estimate);

// Returns the minimum time between two listings of finished items of a job.
// Finished items are listed in groups because each listing is a write to the
// store. Only the results listed by the due time, which is `until_due` away,
// count as in time.
Millis ListingInterval(Millis until_due);

// Returns whether an item with slack `a` runs before one with slack `b`. Items
// that can still be in time come first; within
// each group, the item with the least slack comes first.
bool RunsBefore(Millis a, Millis b);

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_ITEM_ORDER_H_
