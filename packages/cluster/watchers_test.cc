#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "base/text.h"
#include "cluster/watchers.h"

namespace bronzecross {
namespace {

struct Fleet {
  std::vector<std::string> m_ids;
  std::vector<VmGroupMember> m_members;
};

Fleet MakeFleet(int count) {
  Fleet fleet;
  for (int i = 0; i < count; ++i) {
    fleet.m_ids.push_back(Concat("vm-", i));
  }
  for (const std::string& id : fleet.m_ids) {
    fleet.m_members.push_back({id, id.size() % 2 == 0 ? "a" : "b"});
  }
  return fleet;
}

std::string_view ZoneOf(const Fleet& fleet, std::string_view id) {
  for (const VmGroupMember& member : fleet.m_members) {
    if (member.m_id == id) {
      return member.m_zone;
    }
  }
  return "";
}

// Guards against watches, and therefore calls for each change, that grow in
// proportion to the fleet.
TEST_CASE("few VMs of a large fleet watch, but all VMs of a small one") {
  for (const int count : {63, 300}) {
    const Fleet fleet = MakeFleet(count);
    int watching = 0;
    for (const std::string& id : fleet.m_ids) {
      const VmGroup group = FindVmGroup(id, ZoneOf(fleet, id), fleet.m_members);
      const std::vector<std::string> watchers = FindWatchers(id, group);
      CHECK(watchers.size() == 2);
      watching += std::count(watchers.begin(), watchers.end(), id);
      // The other VMs of the group compute the same watchers.
      for (const std::string& peer : group.m_peers) {
        const VmGroup theirs =
            FindVmGroup(peer, ZoneOf(fleet, peer), fleet.m_members);
        CHECK(FindWatchers(peer, theirs) == watchers);
      }
    }
    CHECK(watching <= count / 4);
  }
  const Fleet small = MakeFleet(8);
  CHECK(
      FindWatchers("vm-0", FindVmGroup("vm-0", "a", small.m_members)).empty());
}

// Guards against changes that cost calls in proportion to the number of groups.
TEST_CASE("three VMs of different zones watch for the whole fleet") {
  for (const int count : {20, 300}) {
    const Fleet fleet = MakeFleet(count);
    const std::vector<std::string> watchers =
        FindFleetWatchers(fleet.m_members);
    CHECK(watchers.size() == 3);
    const std::set<std::string> distinct(watchers.begin(), watchers.end());
    CHECK(distinct.size() == 3);
    CHECK(ZoneOf(fleet, watchers[0]) != ZoneOf(fleet, watchers[1]));
    std::vector<VmGroupMember> reversed(fleet.m_members.rbegin(),
                                        fleet.m_members.rend());
    CHECK(FindFleetWatchers(reversed) == watchers);
    // The loss of one keeps the others.
    std::erase_if(reversed, [&](const VmGroupMember& member) {
      return member.m_id == watchers[0];
    });
    const std::vector<std::string> after = FindFleetWatchers(reversed);
    CHECK(std::count(after.begin(), after.end(), watchers[1]) == 1);
  }
  CHECK(FindFleetWatchers({}).empty());
}

TEST_CASE("every watch of a list is checked, at any size of the fleet") {
  for (const int size : {1, 6, 16, 95}) {
    Fleet fleet = MakeFleet(size);
    std::set<std::string> checkers;
    for (const VmGroupMember& member : fleet.m_members) {
      const VmGroup group =
          FindVmGroup(member.m_id, member.m_zone, fleet.m_members);
      std::vector<std::string_view> others;
      for (const VmGroupMember& other : fleet.m_members) {
        if (other.m_id != member.m_id && group.Contains(other.m_id)) {
          others.push_back(other.m_id);
        }
      }
      if (IsFirstWatcher(member.m_id, others)) {
        checkers.emplace(member.m_id);
        // Only a watcher has a watch to check.
        const std::vector<std::string> watchers =
            FindWatchers(member.m_id, group);
        CHECK((watchers.empty() || watchers[0] == member.m_id));
      }
    }
    CHECK(!checkers.empty());
    if (size <= 16) {
      CHECK(checkers.size() == 1);
      continue;
    }
    for (const std::string& watcher : FindFleetWatchers(fleet.m_members)) {
      CHECK(checkers.contains(watcher));
    }
  }
}

TEST_CASE("the loss of a watcher doesn't replace the other one") {
  Fleet fleet = MakeFleet(40);
  const VmGroup group = FindVmGroup("vm-11", "b", fleet.m_members);
  VmGroup smaller = group;
  const std::vector<std::string> before = FindWatchers("vm-11", group);
  const std::string lost = before[0] == "vm-11" ? before[1] : before[0];
  const std::string kept = before[0] == "vm-11" ? before[0] : before[1];
  smaller.m_peers.erase(lost);
  const std::vector<std::string> after = FindWatchers("vm-11", smaller);
  CHECK(std::count(after.begin(), after.end(), kept) == 1);
  CHECK(std::count(after.begin(), after.end(), lost) == 0);
}

}  // namespace
}  // namespace bronzecross
