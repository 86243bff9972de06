#include "cluster/watchers.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>

#include "base/hash.h"

namespace bronzecross {
namespace {

// One that is lost must leave the cell another one.
constexpr size_t kWatchersPerCell = 2;

constexpr std::string_view kSeed = "watchers";

}  // namespace

std::vector<std::string> FindWatchers(std::string_view self, const Cell& cell) {
  std::vector<std::string> watchers;
  if (cell.m_is_whole_fleet) {
    return watchers;
  }
  const uint64_t seed = Hash64(kSeed);
  std::vector<std::pair<uint64_t, std::string_view>> order = {
      {Hash64(self, seed), self}};
  for (const std::string& peer : cell.m_peers) {
    order.emplace_back(Hash64(peer, seed), peer);
  }
  std::sort(order.begin(), order.end());
  order.resize(std::min(order.size(), kWatchersPerCell));
  for (const std::pair<uint64_t, std::string_view>& entry : order) {
    watchers.emplace_back(entry.second);
  }
  return watchers;
}

}  // namespace bronzecross
