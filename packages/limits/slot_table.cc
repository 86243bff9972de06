#include "limits/slot_table.h"

#include <algorithm>
#include <map>

#include <nlohmann/json.hpp>

namespace bronzecross {
namespace {

using nlohmann::json;

const SlotPeer* FindPeer(std::span<const SlotPeer> peers, std::string_view vm) {
  const auto found =
      std::find_if(peers.begin(), peers.end(),
                   [vm](const SlotPeer& peer) { return peer.m_id.m_vm == vm; });
  return found == peers.end() ? nullptr : &*found;
}

bool IsMajority(size_t count, size_t total) {
  return total == 0 || count * 2 > total;
}

void SetSlots(SlotTable& table, const SlotHolderId& id, int64_t slots) {
  const SlotHolder* held = FindHolder(table, id.m_vm);
  const int64_t since =
      held != nullptr && held->m_id == id ? held->m_since : table.m_version;
  std::erase_if(table.m_holders, [&](const SlotHolder& holder) {
    return holder.m_id.m_vm == id.m_vm;
  });
  if (slots > 0) {
    table.m_holders.push_back({id, slots, since});
    std::sort(table.m_holders.begin(), table.m_holders.end(),
              [](const SlotHolder& a, const SlotHolder& b) {
                return a.m_id < b.m_id;
              });
  }
}

// Returns the fair share of each candidate.
std::map<SlotHolderId, int64_t> FairShares(int64_t slots,
                                           std::span<const SlotPeer> peers) {
  std::vector<SlotHolderId> candidates;
  for (const SlotPeer& peer : peers) {
    if (peer.m_candidate) {
      candidates.push_back(peer.m_id);
    }
  }
  std::sort(candidates.begin(), candidates.end());
  std::map<SlotHolderId, int64_t> shares;
  const int64_t count = static_cast<int64_t>(candidates.size());
  for (int64_t i = 0; i < count; ++i) {
    shares[candidates[static_cast<size_t>(i)]] =
        slots / count + (i < slots % count ? 1 : 0);
  }
  return shares;
}

}  // namespace

json SlotTableToJson(const SlotTable& table) {
  json holders = json::array();
  for (const SlotHolder& holder : table.m_holders) {
    holders.push_back({{"vm", holder.m_id.m_vm},
                       {"incarnation", holder.m_id.m_incarnation},
                       {"slots", holder.m_slots},
                       {"since", holder.m_since}});
  }
  return {{"version", table.m_version},
          {"slots", table.m_slots},
          {"holders", holders},
          {"previous", table.m_previous}};
}

Result<SlotTable> SlotTableFromJson(const json& source) {
  SlotTable table;
  try {
    source.at("version").get_to(table.m_version);
    source.at("slots").get_to(table.m_slots);
    source.at("previous").get_to(table.m_previous);
    for (const json& item : source.at("holders")) {
      SlotHolder& holder = table.m_holders.emplace_back();
      item.at("vm").get_to(holder.m_id.m_vm);
      item.at("incarnation").get_to(holder.m_id.m_incarnation);
      item.at("slots").get_to(holder.m_slots);
      item.at("since").get_to(holder.m_since);
    }
  } catch (const json::exception& error) {
    return Fail(ResultCode::kMalformedBody,
                std::string("the slot table is malformed: ") + error.what());
  }
  bool valid = table.m_version > 0 && FreeSlots(table) >= 0;
  for (size_t i = 0; i < table.m_holders.size(); ++i) {
    valid = valid && table.m_holders[i].m_slots > 0 &&
            (i == 0 ||
             table.m_holders[i - 1].m_id.m_vm < table.m_holders[i].m_id.m_vm);
  }
  if (!valid) {
    return Fail(ResultCode::kMalformedBody, "the slot table is inconsistent");
  }
  return table;
}

int64_t FreeSlots(const SlotTable& table) {
  int64_t free = table.m_slots;
  for (const SlotHolder& holder : table.m_holders) {
    free -= holder.m_slots;
  }
  return free;
}

const SlotHolder* FindHolder(const SlotTable& table, std::string_view vm) {
  const auto found = std::find_if(
      table.m_holders.begin(), table.m_holders.end(),
      [vm](const SlotHolder& holder) { return holder.m_id.m_vm == vm; });
  return found == table.m_holders.end() ? nullptr : &*found;
}

int64_t SlotsOf(const SlotTable& table, const SlotHolderId& id) {
  const SlotHolder* holder = FindHolder(table, id.m_vm);
  return holder != nullptr && holder->m_id == id ? holder->m_slots : 0;
}

bool IsSettled(const SlotTable& table, std::span<const SlotPeer> peers) {
  const auto knows = [&](const std::string& vm) {
    const SlotPeer* peer = FindPeer(peers, vm);
    return peer != nullptr && peer->m_version >= table.m_version;
  };
  size_t current = 0;
  for (const SlotHolder& holder : table.m_holders) {
    current += knows(holder.m_id.m_vm) ? 1 : 0;
  }
  const auto previous = static_cast<size_t>(
      std::count_if(table.m_previous.begin(), table.m_previous.end(), knows));
  return IsMajority(current, table.m_holders.size()) &&
         IsMajority(previous, table.m_previous.size());
}

bool IsReportedUnresponsive(const SlotTable& table,
                            const SlotHolderId& id,
                            std::span<const SlotPeer> peers) {
  size_t reports = 0;
  for (const SlotHolder& holder : table.m_holders) {
    const SlotPeer* peer = FindPeer(peers, holder.m_id.m_vm);
    reports += peer != nullptr &&
                       peer->m_id.m_incarnation >= holder.m_id.m_incarnation &&
                       peer->m_version == table.m_version &&
                       peer->m_reported.contains(id)
                   ? 1
                   : 0;
  }
  return IsMajority(reports, table.m_holders.size());
}

std::vector<SlotHolderId> FindLost(const SlotTable& table,
                                   std::span<const SlotPeer> peers,
                                   std::span<const SlotHolderId> ended) {
  std::vector<SlotHolderId> lost;
  for (const SlotHolderId& id : ended) {
    if (SlotsOf(table, id) > 0 && IsReportedUnresponsive(table, id, peers)) {
      lost.push_back(id);
    }
  }
  return lost;
}

SlotTable NextVersion(const SlotTable& table) {
  SlotTable next = table;
  ++next.m_version;
  next.m_previous.clear();
  for (const SlotHolder& holder : table.m_holders) {
    next.m_previous.push_back(holder.m_id.m_vm);
  }
  return next;
}

std::optional<TableChange> PlanTable(const SlotTable& table,
                                     int64_t slots,
                                     const SlotHolderId& self,
                                     bool leaving,
                                     std::span<const SlotPeer> peers,
                                     std::span<const SlotHolderId> lost) {
  TableChange change{NextVersion(table), 0};
  SlotTable& next = change.m_table;
  if (table.m_version == 0) {
    next.m_slots = slots;
  }
  for (const SlotHolderId& id : lost) {
    if (SlotsOf(next, id) > 0) {
      SetSlots(next, id, 0);
    }
  }
  const std::map<SlotHolderId, int64_t> shares =
      FairShares(next.m_slots, peers);
  // Slots that the other candidates lack to their fair shares. A candidate gets
  // none while another run of the same VM holds slots.
  int64_t total_shortfall = 0;
  const auto shortfall = [&](const SlotHolderId& id, int64_t share) {
    const SlotHolder* holder = FindHolder(next, id.m_vm);
    return holder == nullptr    ? share
           : holder->m_id == id ? std::max<int64_t>(share - holder->m_slots, 0)
                                : 0;
  };
  for (const auto& [id, share] : shares) {
    total_shortfall += id == self ? 0 : shortfall(id, share);
  }
  const int64_t own = SlotsOf(next, self);
  const auto own_share = shares.find(self);
  const int64_t fair =
      leaving || own_share == shares.end() ? 0 : own_share->second;
  if (leaving) {
    change.m_released = own;
  } else if (own_share != shares.end() && own > fair) {
    change.m_released =
        std::clamp<int64_t>(total_shortfall - FreeSlots(next), 0, own - fair);
  }
  if (change.m_released > 0) {
    SetSlots(next, self, own - change.m_released);
  }
  for (const auto& [id, share] : shares) {
    if (id == self && leaving) {
      continue;
    }
    const int64_t added = std::min(shortfall(id, share), FreeSlots(next));
    if (added > 0) {
      SetSlots(next, id, SlotsOf(next, id) + added);
    }
  }
  if (next.m_holders == table.m_holders) {
    return std::nullopt;
  }
  return change;
}

}  // namespace bronzecross
