#include "dispatch/near_upstreams.h"

#include <algorithm>
#include <utility>

namespace bronzecross {
namespace {

// A cell gets its own upstreams only if there are so many for each cell, as one
// that fails must leave it another.
constexpr size_t kLeastPerCell = 2;

}  // namespace

std::vector<bool> FindNearUpstreams(std::span<const UpstreamPlace> upstreams,
                                    const VmGroup& cell,
                                    std::string_view zone) {
  if (cell.m_is_whole_fleet) {
    return std::vector<bool>(upstreams.size(), true);
  }
  std::vector<std::pair<uint32_t, size_t>> of_zone;
  for (size_t i = 0; i < upstreams.size(); ++i) {
    if (upstreams[i].m_zone == zone) {
      of_zone.emplace_back(upstreams[i].m_hash, i);
    }
  }
  if (of_zone.empty()) {
    return std::vector<bool>(upstreams.size(), true);
  }
  std::sort(of_zone.begin(), of_zone.end());
  const size_t cells = static_cast<size_t>(cell.m_count);
  const bool is_divided = of_zone.size() >= kLeastPerCell * cells;
  std::vector<bool> near(upstreams.size(), false);
  for (size_t rank = 0; rank < of_zone.size(); ++rank) {
    near[of_zone[rank].second] =
        !is_divided || rank % cells == static_cast<size_t>(cell.m_index);
  }
  return near;
}

}  // namespace bronzecross
