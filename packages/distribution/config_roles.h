// Selects the VMs that watch the store and the VMs that a change is pushed to.

#ifndef BRONZECROSS_DISTRIBUTION_CONFIG_ROLES_H_
#define BRONZECROSS_DISTRIBUTION_CONFIG_ROLES_H_

#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "membership/member.h"

namespace bronzecross {

// Maximum number of VMs that watch the manifest in the store.
inline constexpr size_t kMaxWatchers = 3;
// Watchers are chosen only from this many first VMs by rendezvous hash, which
// bounds the number of VMs that poll the store during an outage that affects
// all of them.
inline constexpr size_t kWatcherCandidates = 8;
inline constexpr size_t kPushFanOut = 8;

// Returns the VMs that watch the manifest, at most kMaxWatchers of the first
// kWatcherCandidates: those that reach the store first, then those that do not.
std::vector<std::string> ChooseWatchers(
    std::span<const Member> members,
    const std::set<std::string>& without_store);

// Returns the VMs that `self` pushes a change to that `root` read from the
// store. In a fleet of up to kFullMeshLimit VMs the root pushes to all others.
// In a larger fleet each VM pushes to up to kPushFanOut children in a tree over
// `members`, which is the same on all VMs.
std::vector<std::string> PushTargets(std::string_view root,
                                     std::string_view self,
                                     std::span<const Member> members);

}  // namespace bronzecross

#endif  // BRONZECROSS_DISTRIBUTION_CONFIG_ROLES_H_
