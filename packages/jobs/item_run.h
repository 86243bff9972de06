// Runs one item of a batch job at one upstream and collects its output.

#ifndef BRONZECROSS_JOBS_ITEM_RUN_H_
#define BRONZECROSS_JOBS_ITEM_RUN_H_

#include "jobs/job.h"

namespace bronzecross {

// How often an item may fail at upstreams before it is given up.
struct ItemLimits {
  int m_max_failures = 1;
};

// Runs until the item is finished, has failed or is cancelled, and updates its
// progress. The slot isn't released.
Task<> RunItem(ItemRun& run, ItemLimits limits);

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_ITEM_RUN_H_
