#include "cluster/vm_group.h"

#include <map>
#include <vector>

#include <doctest/doctest.h>

#include "base/text.h"

namespace bronzecross {
namespace {

struct Fleet {
  explicit Fleet(int vms) {
    for (int i = 0; i < vms; ++i) {
      m_ids.push_back(Concat("vm-", i));
    }
    for (int i = 0; i < vms; ++i) {
      m_members.push_back({m_ids[static_cast<size_t>(i)], Zone(i)});
    }
  }
  static std::string_view Zone(int vm) {
    return vm % 3 == 0 ? "a" : (vm % 3 == 1 ? "b" : "c");
  }

  std::vector<std::string> m_ids;
  std::vector<VmGroupMember> m_members;
};

TEST_CASE("a small fleet is a single group") {
  const Fleet fleet(16);
  const VmGroup group = FindVmGroup("vm-3", "a", fleet.m_members);
  CHECK(group.m_is_whole_fleet);
  CHECK(group.m_size == 16);
  CHECK(group.Contains("vm-4"));
}

// Guards against gossip that grows in proportion to the fleet, and against VMs
// that compute different members for the same group.
TEST_CASE("a large fleet has small groups, which all VMs compute alike") {
  for (const int vms : {17, 63, 300, 1'600}) {
    const Fleet fleet(vms);
    std::map<std::string_view, VmGroup> groups;
    for (const VmGroupMember& member : fleet.m_members) {
      groups[member.m_id] =
          FindVmGroup(member.m_id, member.m_zone, fleet.m_members);
    }
    for (const VmGroupMember& member : fleet.m_members) {
      const VmGroup& group = groups[member.m_id];
      CHECK(group.m_fleet_size == vms);
      CHECK(group.m_size >= 5);
      CHECK(group.m_size <= 15);
      for (const std::string& peer : group.m_peers) {
        const VmGroup& other = groups[peer];
        CHECK(other.m_index == group.m_index);
        CHECK(other.m_size == group.m_size);
        CHECK(other.Contains(member.m_id));
      }
    }
  }
}

}  // namespace
}  // namespace bronzecross
