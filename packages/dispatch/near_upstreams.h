// Decides which upstreams of a service the VMs of a cell use first. It answers
// the load of large fleets: a VM knows only what its own cell has in flight, so
// cells that all used the same upstreams would overfill them.

#ifndef BRONZECROSS_DISPATCH_NEAR_UPSTREAMS_H_
#define BRONZECROSS_DISPATCH_NEAR_UPSTREAMS_H_

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "cluster/vm_group.h"

namespace bronzecross {

struct UpstreamPlace {
  uint32_t m_hash = 0;  // ShortHash of its id
  std::string_view m_zone;
};

// For each upstream of one service, whether the VMs of `cell` in `zone` use it
// first. All cells of a zone share its upstreams if there are too few to
// divide, and a zone without any uses those of all zones.
std::vector<bool> FindNearUpstreams(std::span<const UpstreamPlace> upstreams,
                                    const VmGroup& cell,
                                    std::string_view zone);

}  // namespace bronzecross

#endif  // BRONZECROSS_DISPATCH_NEAR_UPSTREAMS_H_
