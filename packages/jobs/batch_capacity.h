// Computes how many batch items run at an upstream and how many of them are
// preempted. The online load changes within seconds: the batch items of all VMs
// together fill the slots that online requests leave free, and release them
// within a tenth of a second.

#ifndef BRONZECROSS_JOBS_BATCH_CAPACITY_H_
#define BRONZECROSS_JOBS_BATCH_CAPACITY_H_

#include <span>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "dispatch/pick_upstream.h"

namespace bronzecross {

// Slots of each upstream that batch items leave free for online requests that
// arrive before batch items of other VMs can be preempted.
inline constexpr int kBatchHeadroom = 1;

// Slots of one upstream, and the requests that all VMs run there.
struct UpstreamCapacity {
  int m_slots = 0;
  int m_online = 0;  // running online requests
  int m_batch = 0;   // running batch items
};

// Returns the number of slots that batch items of all VMs together may still
// take.
int CountFreeBatchSlots(const UpstreamCapacity& capacity);

// Returns the number of slots of one upstream for further batch items. Batch
// items go to a slow upstream only one at a time, to find out whether it has
// recovered, to a cold one only one for each of its tokens, and to no slot that
// a fresh report shows as taken by VMs of which this VM doesn't hear.
int CountFreeBatchSlots(const CandidateLoad& load);

// Returns how many of `free` slots this VM takes. The VMs share them in
// proportion to their waiting items: `own` of `total` waiting items are at this
// VM. A fractional slot is taken at random with a probability equal to the
// fraction.
int ShareOfFreeSlots(int free, int own, int total, Random& random);

// Returns the number of items to start at each of `loads`, in their order:
// warm upstreams first, and one at a time at cold ones. `own` of `total`
// waiting items are at this VM.
std::vector<int> PlanItemStarts(std::span<const CandidateLoad> loads,
                                int own,
                                int total,
                                Random& random);

// Number of batch items that one VM runs at an upstream.
struct VmBatchItems {
  std::string m_vm;
  int m_items = 0;
};

// Returns how many of its items VM `self` preempts at an overfull upstream. VMs
// preempt in descending order of their ids. With the same input at each VM,
// they preempt exactly the excess together.
int CountItemsToPreempt(const UpstreamCapacity& capacity,
                        std::string_view self,
                        std::span<const VmBatchItems> batches);

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_BATCH_CAPACITY_H_
