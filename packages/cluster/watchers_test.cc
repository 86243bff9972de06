#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "base/text.h"
#include "cluster/watchers.h"

namespace bronzecross {
namespace {

struct Fleet {
  std::vector<std::string> m_ids;
  std::vector<CellMember> m_members;
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
  for (const CellMember& member : fleet.m_members) {
    if (member.m_id == id) {
      return member.m_zone;
    }
  }
  return "";
}

// Guards against watches, and with them calls for each change, in proportion to
// the fleet.
TEST_CASE("few VMs of a large fleet watch, and all of a small one") {
  for (const int count : {63, 300}) {
    const Fleet fleet = MakeFleet(count);
    int watching = 0;
    for (const std::string& id : fleet.m_ids) {
      const Cell cell = FindCell(id, ZoneOf(fleet, id), fleet.m_members);
      const std::vector<std::string> watchers = FindWatchers(id, cell);
      CHECK(watchers.size() == 2);
      watching += std::count(watchers.begin(), watchers.end(), id);
      // The other VMs of the cell find the same ones.
      for (const std::string& peer : cell.m_peers) {
        const Cell theirs =
            FindCell(peer, ZoneOf(fleet, peer), fleet.m_members);
        CHECK(FindWatchers(peer, theirs) == watchers);
      }
    }
    CHECK(watching <= count / 4);
  }
  const Fleet small = MakeFleet(8);
  CHECK(FindWatchers("vm-0", FindCell("vm-0", "a", small.m_members)).empty());
}

TEST_CASE("a watcher that is lost leaves the other one in its place") {
  Fleet fleet = MakeFleet(40);
  const Cell cell = FindCell("vm-11", "b", fleet.m_members);
  Cell smaller = cell;
  const std::vector<std::string> before = FindWatchers("vm-11", cell);
  const std::string lost = before[0] == "vm-11" ? before[1] : before[0];
  const std::string kept = before[0] == "vm-11" ? before[0] : before[1];
  smaller.m_peers.erase(lost);
  const std::vector<std::string> after = FindWatchers("vm-11", smaller);
  CHECK(std::count(after.begin(), after.end(), kept) == 1);
  CHECK(std::count(after.begin(), after.end(), lost) == 0);
}

}  // namespace
}  // namespace bronzecross
