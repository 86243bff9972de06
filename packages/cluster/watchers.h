// Chooses which VMs of a large fleet watch the key-value service. Each change
// ends every open watch, so if all VMs watched, each change would cost calls in
// proportion to the size of the fleet. Changes go down a tree instead: a few
// fleet watchers watch, the watchers of each group follow one of them, and the
// other VMs of a group follow one of its watchers. A large value would be sent
// by a fleet watcher to each group, which takes too long on a slow link;
// followers of such values leave out the first level while they reach the
// service.

#ifndef BRONZECROSS_CLUSTER_WATCHERS_H_
#define BRONZECROSS_CLUSTER_WATCHERS_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/vm_group.h"

namespace bronzecross {

// Returns the watchers of the group of `self`, sorted by hash. All VMs of the
// group compute the same watchers while they know the same members. Returns an
// empty list if the fleet isn't divided, in which case every VM watches.
std::vector<std::string> FindWatchers(std::string_view self,
                                      const VmGroup& group);

// Whether `self` comes before all of `others` in the order by which watchers
// are chosen.
bool IsFirstWatcher(std::string_view self,
                    std::span<const std::string_view> others);

// Returns the VMs that watch on behalf of all groups, of different availability
// zones where there are several. `members` are all VMs of the fleet.
std::vector<std::string> FindFleetWatchers(
    std::span<const VmGroupMember> members);

}  // namespace bronzecross

#endif  // BRONZECROSS_CLUSTER_WATCHERS_H_
