#include "jobs/batch_capacity.h"

#include <algorithm>
#include <cmath>

namespace bronzecross {

int CountFreeBatchSlots(const UpstreamCapacity& capacity) {
  const int headroom = std::min(kBatchHeadroom, capacity.m_slots - 1);
  return std::max(
      capacity.m_slots - headroom - capacity.m_online - capacity.m_batch, 0);
}

int CountFreeBatchSlots(const CandidateLoad& load) {
  if (!load.m_usable || load.m_slow) {
    return 0;
  }
  const int free = CountFreeBatchSlots(
      UpstreamCapacity{load.m_slots, load.m_online, load.m_batch});
  const int left =
      std::max(free - static_cast<int>(std::ceil(load.m_reported_extra)), 0);
  return load.m_probe || load.m_cold ? std::min(left, 1) : left;
}

int ShareOfFreeSlots(int free, int own, int total, Random& random) {
  if (free <= 0 || own <= 0) {
    return 0;
  }
  const double share = static_cast<double>(free) * own / std::max(own, total);
  const double whole = std::floor(share);
  const int extra = RandomUnit(random) < share - whole ? 1 : 0;
  return std::min(static_cast<int>(whole) + extra, own);
}

std::vector<int> PlanItemStarts(std::span<const CandidateLoad> loads,
                                int own,
                                int total,
                                Random& random) {
  std::vector<int> starts(loads.size(), 0);
  for (const bool is_cold : {false, true}) {
    for (size_t i = 0; i < loads.size() && own > 0; ++i) {
      if (loads[i].m_cold == is_cold) {
        starts[i] =
            ShareOfFreeSlots(CountFreeBatchSlots(loads[i]), own, total, random);
        own -= starts[i];
        total -= starts[i];
      }
    }
  }
  return starts;
}

int CountItemsToPreempt(const UpstreamCapacity& capacity,
                        std::string_view self,
                        std::span<const VmBatchItems> batches) {
  int excess = capacity.m_online + capacity.m_batch - capacity.m_slots;
  int own = 0;
  for (const VmBatchItems& batch : batches) {
    if (batch.m_vm > self) {
      excess -= batch.m_items;
    } else if (batch.m_vm == self) {
      own = batch.m_items;
    }
  }
  return std::clamp(excess, 0, own);
}

}  // namespace bronzecross
