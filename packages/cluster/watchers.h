// Decides which VMs of a large fleet watch the key-value service. It answers
// the load of changes that concern all VMs: each change ends the watch of each
// VM that has one, so a fleet in which all watch makes calls in proportion to
// its size. In each cell a few VMs watch, and tell the others.

#ifndef BRONZECROSS_CLUSTER_WATCHERS_H_
#define BRONZECROSS_CLUSTER_WATCHERS_H_

#include <string>
#include <string_view>
#include <vector>

#include "cluster/cell.h"

namespace bronzecross {

// The watchers of the cell that `self` belongs to, in the order of a hash. All
// VMs of the cell find the same ones while they know the same members. Empty in
// a fleet that isn't divided: each VM watches.
std::vector<std::string> FindWatchers(std::string_view self, const Cell& cell);

}  // namespace bronzecross

#endif  // BRONZECROSS_CLUSTER_WATCHERS_H_
