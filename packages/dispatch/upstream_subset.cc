#include "dispatch/upstream_subset.h"

#include <algorithm>
#include <utility>

namespace bronzecross {
namespace {

// Minimum number of upstreams per VM group for dividing them: a group whose
// upstream fails needs another one.
constexpr size_t kMinPerGroup = 2;

}  // namespace

std::vector<bool> FindUpstreamSubset(
    std::span<const UpstreamLocation> upstreams,
    const VmGroup& group,
    std::string_view zone) {
  if (group.m_is_whole_fleet) {
    return std::vector<bool>(upstreams.size(), true);
  }
  std::vector<std::pair<uint32_t, size_t>> in_zone;
  for (size_t i = 0; i < upstreams.size(); ++i) {
    if (upstreams[i].m_zone == zone) {
      in_zone.emplace_back(upstreams[i].m_hash, i);
    }
  }
  if (in_zone.empty()) {
    return std::vector<bool>(upstreams.size(), true);
  }
  std::sort(in_zone.begin(), in_zone.end());
  const size_t groups = static_cast<size_t>(group.m_count);
  const bool is_divided = in_zone.size() >= kMinPerGroup * groups;
  std::vector<bool> in_subset(upstreams.size(), false);
  for (size_t rank = 0; rank < in_zone.size(); ++rank) {
    in_subset[in_zone[rank].second] =
        !is_divided || rank % groups == static_cast<size_t>(group.m_index);
  }
  return in_subset;
}

}  // namespace bronzecross
