// Decides how many batch items an upstream may run beside its online requests,
// and which of them are preempted.

#ifndef BRONZECROSS_BATCH_UPSTREAM_CAPACITY_H_
#define BRONZECROSS_BATCH_UPSTREAM_CAPACITY_H_

#include <cstdint>
#include <span>
#include <vector>

#include "base/clock.h"

namespace bronzecross {

// What the dispatcher of an upstream knows about its load.
struct CapacityInput {
  int64_t m_slots = 1;
  // Fraction of the slots that may be used, in (0, 1].
  double m_fill_target = 1;
  // Slots kept free for online requests that arrive before the dispatcher is
  // informed of them.
  int64_t m_reserved_slots = 0;
  // Online requests in flight from this VM and the others.
  int64_t m_online = 0;
  // Batch items in flight from this VM, and from VMs that were the dispatcher
  // before.
  int64_t m_own_batch = 0;
  int64_t m_peers_batch = 0;
  // Requests that the upstream reports beyond those known at the time.
  int64_t m_unattributed = 0;
};

// Returns the number of batch items that may be sent now; if negative, the
// number that must be preempted, negated.
int64_t BatchCapacity(const CapacityInput& input);

// One batch item that runs on an upstream.
struct RunningItem {
  uint64_t m_run_id = 0;
  Millis m_started;
};

// Returns the runs to cancel so that `excess` items are preempted: the youngest
// first, as they lose the least work. The caller omits items that must not be
// cancelled.
std::vector<uint64_t> SelectItemsToPreempt(std::span<const RunningItem> running,
                                           int64_t excess);

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_UPSTREAM_CAPACITY_H_
