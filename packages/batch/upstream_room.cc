#include "batch/upstream_room.h"

#include <algorithm>
#include <cmath>

namespace bronzecross {

int64_t BatchRoom(const RoomView& view) {
  const int64_t bound = std::min<int64_t>(
      static_cast<int64_t>(std::floor(
          static_cast<double>(view.m_slots) * view.m_fill_target + 1e-9)),
      view.m_slots - view.m_reserve);
  // An upstream with one slot must still be usable while no online request is
  // there.
  const int64_t online = view.m_online + view.m_hidden;
  const int64_t usable = online == 0 ? std::max<int64_t>(bound, 1) : bound;
  const int64_t allowed = std::max<int64_t>(0, usable - online);
  return allowed - view.m_own_batch - view.m_peers_batch;
}

std::vector<uint64_t> ItemsToCancel(std::span<const RunningItem> running,
                                    int64_t excess) {
  std::vector<RunningItem> items(running.begin(), running.end());
  std::sort(items.begin(), items.end(),
            [](const RunningItem& a, const RunningItem& b) {
              return a.m_started != b.m_started ? a.m_started > b.m_started
                                                : a.m_run > b.m_run;
            });
  std::vector<uint64_t> chosen;
  for (const RunningItem& item : items) {
    if (static_cast<int64_t>(chosen.size()) >= excess) {
      break;
    }
    chosen.push_back(item.m_run);
  }
  return chosen;
}

}  // namespace bronzecross
