// Divides a large fleet into groups of VMs. If every VM sent its full state to
// all others, the messages of each VM would grow in proportion to the fleet.
// Above a maximum size the fleet is therefore divided into groups of VMs in one
// availability zone. VMs of the same group share all gossip, and prefer their
// own group's share of the upstreams.

#ifndef BRONZECROSS_CLUSTER_VM_GROUP_H_
#define BRONZECROSS_CLUSTER_VM_GROUP_H_

#include <set>
#include <span>
#include <string>
#include <string_view>

namespace bronzecross {

// A VM that may be alive.
struct VmGroupMember {
  std::string_view m_id;
  std::string_view m_zone;
};

// The group of one VM.
struct VmGroup {
  // Whether the fleet is not divided. m_peers is not used in this case.
  bool m_is_whole_fleet = true;
  int m_fleet_size = 1;
  int m_size = 1;   // VMs, this one included
  int m_index = 0;  // among the groups of the zone
  int m_count = 1;  // number of groups in the zone
  std::set<std::string, std::less<>> m_peers;

  bool Contains(std::string_view peer) const {
    return m_is_whole_fleet || m_peers.contains(peer);
  }
};

// Returns the group of the VM `self` in `zone`. `members` are all VMs of the
// fleet and may include `self`.
VmGroup FindVmGroup(std::string_view self,
                    std::string_view zone,
                    std::span<const VmGroupMember> members);

}  // namespace bronzecross

#endif  // BRONZECROSS_CLUSTER_VM_GROUP_H_
