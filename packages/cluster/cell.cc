#include "cluster/cell.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "base/hash.h"

namespace bronzecross {
namespace {

// Up to this many VMs are one cell. The messages between so many cost each VM
// less than a hundredth of a core.
constexpr size_t kMostUndivided = 16;

// VMs of one cell, on average. Fewer would leave each with too few upstreams to
// choose from, more would tell one another too much.
constexpr size_t kCellSize = 10;

}  // namespace

Cell FindCell(std::string_view self,
              std::string_view zone,
              std::span<const CellMember> members) {
  // In the order of their hashes, so that VMs with near names are spread.
  std::vector<std::pair<uint64_t, std::string_view>> of_zone = {
      {Hash64(self), self}};
  size_t others = 0;
  for (const CellMember& member : members) {
    if (member.m_id == self) {
      continue;
    }
    ++others;
    if (member.m_zone == zone) {
      of_zone.emplace_back(Hash64(member.m_id), member.m_id);
    }
  }
  Cell cell;
  cell.m_fleet_size = static_cast<int>(others) + 1;
  cell.m_size = cell.m_fleet_size;
  if (others + 1 <= kMostUndivided) {
    return cell;
  }
  std::sort(of_zone.begin(), of_zone.end());
  const size_t count =
      std::max<size_t>((of_zone.size() + kCellSize / 2) / kCellSize, 1);
  size_t own_rank = 0;
  while (of_zone[own_rank].second != self) {
    ++own_rank;
  }
  cell.m_is_whole_fleet = false;
  cell.m_count = static_cast<int>(count);
  cell.m_index = static_cast<int>(own_rank % count);
  for (size_t rank = 0; rank < of_zone.size(); ++rank) {
    if (rank != own_rank && rank % count == own_rank % count) {
      cell.m_peers.emplace(of_zone[rank].second);
    }
  }
  cell.m_size = static_cast<int>(cell.m_peers.size()) + 1;
  return cell;
}

}  // namespace bronzecross
