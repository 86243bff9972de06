#include "cluster/vm_group.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "base/hash.h"

namespace bronzecross {
namespace {

// Maximum size of a fleet that forms a single group. At this size the gossip
// costs each VM less than 1 % of a core.
constexpr size_t kMaxUndividedFleet = 16;

// Average number of VMs in a group. Smaller groups would leave each VM with too
// few upstreams to choose from, larger ones would exchange too much gossip.
constexpr size_t kTargetGroupSize = 10;

}  // namespace

VmGroup FindVmGroup(std::string_view self,
                    std::string_view zone,
                    std::span<const VmGroupMember> members) {
  // Sorted by hash, so that VMs with similar names spread over the groups.
  std::vector<std::pair<uint64_t, std::string_view>> of_zone = {
      {Hash64(self), self}};
  size_t others = 0;
  for (const VmGroupMember& member : members) {
    if (member.m_id == self) {
      continue;
    }
    ++others;
    if (member.m_zone == zone) {
      of_zone.emplace_back(Hash64(member.m_id), member.m_id);
    }
  }
  VmGroup group;
  group.m_fleet_size = static_cast<int>(others) + 1;
  group.m_size = group.m_fleet_size;
  if (others + 1 <= kMaxUndividedFleet) {
    return group;
  }
  std::sort(of_zone.begin(), of_zone.end());
  const size_t count = std::max<size_t>(
      (of_zone.size() + kTargetGroupSize / 2) / kTargetGroupSize, 1);
  size_t own_rank = 0;
  while (of_zone[own_rank].second != self) {
    ++own_rank;
  }
  group.m_is_whole_fleet = false;
  group.m_count = static_cast<int>(count);
  group.m_index = static_cast<int>(own_rank % count);
  for (size_t rank = 0; rank < of_zone.size(); ++rank) {
    if (rank != own_rank && rank % count == own_rank % count) {
      group.m_peers.emplace(of_zone[rank].second);
    }
  }
  group.m_size = static_cast<int>(group.m_peers.size()) + 1;
  return group;
}

}  // namespace bronzecross
