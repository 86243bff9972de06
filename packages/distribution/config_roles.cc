#include "distribution/config_roles.h"

#include <algorithm>

#include "membership/member_liveness.h"
#include "membership/rendezvous.h"

namespace bronzecross {

std::vector<std::string> ChooseWatchers(
    std::span<const Member> members,
    const std::set<std::string>& without_store) {
  std::vector<std::string> ranked = RankMembers("manifest-watch", members);
  ranked.resize(std::min(ranked.size(), kWatcherCandidates));
  std::stable_partition(
      ranked.begin(), ranked.end(),
      [&](const std::string& id) { return !without_store.contains(id); });
  ranked.resize(std::min(ranked.size(), kMaxWatchers));
  return ranked;
}

std::vector<std::string> PushTargets(std::string_view root,
                                     std::string_view self,
                                     std::span<const Member> members) {
  std::vector<std::string> order = RankMembers(root, members);
  std::erase(order, root);
  if (order.size() + 1 <= kFullMeshLimit) {
    return self == root ? order : std::vector<std::string>();
  }
  order.insert(order.begin(), std::string(root));
  const size_t index = static_cast<size_t>(
      std::find(order.begin(), order.end(), self) - order.begin());
  const size_t first = std::min(order.size(), index * kPushFanOut + 1);
  const size_t last = std::min(order.size(), first + kPushFanOut);
  return {order.begin() + static_cast<std::ptrdiff_t>(first),
          order.begin() + static_cast<std::ptrdiff_t>(last)};
}

}  // namespace bronzecross
