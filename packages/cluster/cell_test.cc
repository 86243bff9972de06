#include "cluster/cell.h"

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
  std::vector<CellMember> m_members;
};

TEST_CASE("a small fleet is one cell") {
  const Fleet fleet(16);
  const Cell cell = FindCell("vm-3", "a", fleet.m_members);
  CHECK(cell.m_is_whole_fleet);
  CHECK(cell.m_size == 16);
  CHECK(cell.Contains("vm-4"));
}

// Guards against messages in proportion to the fleet, and against VMs that
// disagree about who belongs together.
TEST_CASE("cells of a large fleet are small, in one zone, and agreed on") {
  for (const int vms : {17, 63, 300, 1'600}) {
    const Fleet fleet(vms);
    std::map<std::string_view, Cell> cells;
    for (const CellMember& member : fleet.m_members) {
      cells[member.m_id] =
          FindCell(member.m_id, member.m_zone, fleet.m_members);
    }
    for (const CellMember& member : fleet.m_members) {
      const Cell& cell = cells[member.m_id];
      CHECK(cell.m_fleet_size == vms);
      CHECK(cell.m_size >= 5);
      CHECK(cell.m_size <= 15);
      for (const std::string& peer : cell.m_peers) {
        const Cell& other = cells[peer];
        CHECK(other.m_index == cell.m_index);
        CHECK(other.m_size == cell.m_size);
        CHECK(other.Contains(member.m_id));
      }
    }
  }
}

}  // namespace
}  // namespace bronzecross
