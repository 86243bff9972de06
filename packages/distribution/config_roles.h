// Decisions on who follows the store, and to whom a change is passed on.

#ifndef BRONZECROSS_DISTRIBUTION_CONFIG_ROLES_H_
#define BRONZECROSS_DISTRIBUTION_CONFIG_ROLES_H_

#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "membership/member.h"

namespace bronzecross {

// VMs that watch the manifest in the store.
inline constexpr size_t kMaxWatchers = 3;
// Watchers come from the first VMs by rendezvous hash only, so that an outage
// for all makes no more than these look for the store's return.
inline constexpr size_t kWatcherCandidates = 8;
inline constexpr size_t kPushFanOut = 8;

// The VMs that watch the manifest: of the first candidates those that reach the
// store, then, up to kMaxWatchers, those that do not.
std::vector<std::string> ChooseWatchers(
    std::span<const Member> members,
    const std::set<std::string>& without_store);

// The VMs that `self` passes a change on to that `root` brought up. In a fleet
// of up to kFullMeshLimit the root tells all; beyond that each VM tells the
// next kPushFanOut of a tree over `members`, which all VMs order alike.
std::vector<std::string> PushTargets(std::string_view root,
                                     std::string_view self,
                                     std::span<const Member> members);

}  // namespace bronzecross

#endif  // BRONZECROSS_DISTRIBUTION_CONFIG_ROLES_H_
