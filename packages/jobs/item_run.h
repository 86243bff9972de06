// Runs one item of a batch job at one upstream and collects its output.

#ifndef BRONZECROSS_JOBS_ITEM_RUN_H_
#define BRONZECROSS_JOBS_ITEM_RUN_H_

#include "jobs/job.h"

namespace bronzecross {

// Limits for the runs of one item.
struct ItemLimits {
  int m_max_failures = 1;  // failed attempts before the item is abandoned
};

// Returns the delay before the next run of an item after consecutive runs that
// broke off without a new event. It stays short, as items crash no upstreams by
// themselves.
Millis RetryDelay(int runs_without_progress);

// Runs until the item is finished, has failed or is cancelled, and updates its
// progress. The caller releases the slot.
Task<> RunItem(ItemRun& run, ItemLimits limits);

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_ITEM_RUN_H_
