// Chooses which VMs of a large fleet watch the key-value service. Each change
// ends every open watch, so if all VMs watched, each change would cost calls in
// proportion to the size of the fleet. Instead a few VMs of each group watch
// and pass the changes on to the others.

#ifndef BRONZECROSS_CLUSTER_WATCHERS_H_
#define BRONZECROSS_CLUSTER_WATCHERS_H_

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

}  // namespace bronzecross

#endif  // BRONZECROSS_CLUSTER_WATCHERS_H_
