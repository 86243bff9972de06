#include "cluster/watchers.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <set>
#include <utility>

#include "base/hash.h"

namespace bronzecross {
namespace {

// Two, so that a group that loses one watcher still has another.
constexpr size_t kWatchersPerGroup = 2;

// Three, so that the loss of a zone and of one more VM leaves one.
constexpr size_t kFleetWatchers = 3;

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

bool IsFirstWatcher(std::string_view self,
                    std::span<const std::string_view> others) {
  const uint64_t seed = Hash64(kWatcherHashSeed);
  const std::pair<uint64_t, std::string_view> own = {Hash64(self, seed), self};
  return std::all_of(others.begin(), others.end(), [&](std::string_view other) {
    return own <= std::pair(Hash64(other, seed), other);
  });
}

std::vector<std::string> FindFleetWatchers(
    std::span<const VmGroupMember> members) {
  const uint64_t seed = Hash64(kWatcherHashSeed);
  std::vector<std::pair<uint64_t, const VmGroupMember*>> order;
  for (const VmGroupMember& member : members) {
    order.emplace_back(Hash64(member.m_id, seed), &member);
  }
  std::sort(order.begin(), order.end());
  std::vector<std::string> watchers;
  std::set<std::string_view> zones;
  // The second pass fills up if there are fewer zones than watchers.
  for (const bool needs_new_zone : {true, false}) {
    for (const std::pair<uint64_t, const VmGroupMember*>& entry : order) {
      const VmGroupMember& member = *entry.second;
      const bool is_chosen = std::find(watchers.begin(), watchers.end(),
                                       member.m_id) != watchers.end();
      if (watchers.size() < kFleetWatchers && !is_chosen &&
          (!needs_new_zone || zones.insert(member.m_zone).second)) {
        watchers.emplace_back(member.m_id);
      }
    }
  }
  return watchers;
}

}  // namespace bronzecross
