#include "cluster/watchers.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>

#include "base/hash.h"

namespace bronzecross {
namespace {

// Two, so that a group that loses one watcher still has another.
constexpr size_t kWatchersPerGroup = 2;

constexpr std::string_view kWatcherHashSeed = "watchers";

}  // namespace

std::vector<std::string> FindWatchers(std::string_view self,
                                      const VmGroup& group) {
  std::vector<std::string> watchers;
  if (group.m_is_whole_fleet) {
    return watchers;
  }
  const uint64_t seed = Hash64(kWatcherHashSeed);
  std::vector<std::pair<uint64_t, std::string_view>> order = {
      {Hash64(self, seed), self}};
  for (const std::string& peer : group.m_peers) {
    order.emplace_back(Hash64(peer, seed), peer);
  }
  std::sort(order.begin(), order.end());
  order.resize(std::min(order.size(), kWatchersPerGroup));
  for (const std::pair<uint64_t, std::string_view>& entry : order) {
    watchers.emplace_back(entry.second);
  }
  return watchers;
}

}  // namespace bronzecross
