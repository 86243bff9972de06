// Deterministic subsetting: selects the upstreams of a service that the VMs of
// a VM group prefer. In a large fleet a VM knows only the requests that its own
// group has in flight, so groups that all used the same upstreams would
// overload them.

#ifndef BRONZECROSS_DISPATCH_UPSTREAM_SUBSET_H_
#define BRONZECROSS_DISPATCH_UPSTREAM_SUBSET_H_

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "cluster/vm_group.h"

namespace bronzecross {

struct UpstreamLocation {
  uint32_t m_hash = 0;  // ShortHash of the upstream id
  std::string_view m_zone;
};

// Returns for each upstream of one service whether the VMs of `group` in `zone`
// prefer it. All groups of a zone share its upstreams if there are too few to
// divide, and a zone without upstreams uses those of all zones.
std::vector<bool> FindUpstreamSubset(
    std::span<const UpstreamLocation> upstreams,
    const VmGroup& group,
    std::string_view zone);

}  // namespace bronzecross

#endif  // BRONZECROSS_DISPATCH_UPSTREAM_SUBSET_H_
