// Decides which VMs share their load with one another in full. It answers the
// load of large fleets: a VM that told all others of each request would send
// and read messages in proportion to their number. Above a limit the fleet is
// divided into cells of VMs of one availability zone. VMs of one cell tell one
// another everything and use their own part of the upstreams first.

#ifndef BRONZECROSS_CLUSTER_CELL_H_
#define BRONZECROSS_CLUSTER_CELL_H_

#include <set>
#include <span>
#include <string>
#include <string_view>

namespace bronzecross {

// A VM that may be alive.
struct CellMember {
  std::string_view m_id;
  std::string_view m_zone;
};

struct Cell {
  // No division: the fleet is one cell, and m_peers is not used.
  bool m_is_whole_fleet = true;
  int m_fleet_size = 1;
  int m_size = 1;   // VMs, this one included
  int m_index = 0;  // among the cells of the zone
  int m_count = 1;  // cells of the zone
  std::set<std::string, std::less<>> m_peers;

  bool Contains(std::string_view peer) const {
    return m_is_whole_fleet || m_peers.contains(peer);
  }
};

// The cell of the VM `self` of `zone`. `members` are all VMs, with or without
// this one.
Cell FindCell(std::string_view self,
              std::string_view zone,
              std::span<const CellMember> members);

}  // namespace bronzecross

#endif  // BRONZECROSS_CLUSTER_CELL_H_
