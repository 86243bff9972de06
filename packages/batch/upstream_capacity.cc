#include "batch/upstream_capacity.h"

#include <algorithm>
#include <cmath>

namespace bronzecross {

int64_t BatchCapacity(const CapacityInput& input) {
  const int64_t bound = std::min<int64_t>(
      static_cast<int64_t>(std::floor(
          static_cast<double>(input.m_slots) * input.m_fill_target + 1e-9)),
      input.m_slots - input.m_reserved_slots);
  // An upstream with one slot must still run batch items while it has no online
  // requests.
  const int64_t online = input.m_online + input.m_unattributed;
  const int64_t usable = online == 0 ? std::max<int64_t>(bound, 1) : bound;
  const int64_t allowed = std::max<int64_t>(0, usable - online);
  return allowed - input.m_own_batch - input.m_peers_batch;
}

std::vector<uint64_t> SelectItemsToPreempt(std::span<const RunningItem> running,
                                           int64_t excess) {
  std::vector<RunningItem> items(running.begin(), running.end());
  std::sort(items.begin(), items.end(),
            [](const RunningItem& a, const RunningItem& b) {
              return a.m_started != b.m_started ? a.m_started > b.m_started
                                                : a.m_run_id > b.m_run_id;
            });
  std::vector<uint64_t> chosen;
  for (const RunningItem& item : items) {
    if (static_cast<int64_t>(chosen.size()) >= excess) {
      break;
    }
    chosen.push_back(item.m_run_id);
  }
  return chosen;
}

}  // namespace bronzecross
