#include "jobs/batch_room.h"

#include <algorithm>
#include <cmath>

namespace bronzecross {

int FreeForBatch(const UpstreamRoom& room) {
  const int headroom = std::min(kBatchHeadroom, room.m_slots - 1);
  return std::max(room.m_slots - headroom - room.m_online - room.m_batch, 0);
}

int ShareOfRoom(int free, int own, int all, Random& random) {
  if (free <= 0 || own <= 0) {
    return 0;
  }
  const double part = static_cast<double>(free) * own / std::max(own, all);
  const double whole = std::floor(part);
  const int extra = RandomUnit(random) < part - whole ? 1 : 0;
  return std::min(static_cast<int>(whole) + extra, own);
}

int ItemsToYield(const UpstreamRoom& room,
                 std::string_view self,
                 std::span<const VmBatch> batches) {
  int excess = room.m_online + room.m_batch - room.m_slots;
  int own = 0;
  for (const VmBatch& batch : batches) {
    if (batch.m_vm > self) {
      excess -= batch.m_items;
    } else if (batch.m_vm == self) {
      own = batch.m_items;
    }
  }
  return std::clamp(excess, 0, own);
}

}  // namespace bronzecross
