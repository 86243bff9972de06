// The table of slots, as it stands in the store, and the decisions on it.

#ifndef BRONZECROSS_LIMITS_SLOT_TABLE_H_
#define BRONZECROSS_LIMITS_SLOT_TABLE_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "base/error.h"

namespace bronzecross {

// One run of a VM's daemon.
struct SlotHolderId {
  std::string m_vm;
  int64_t m_incarnation = 0;

  auto operator<=>(const SlotHolderId&) const = default;
};

struct SlotHolder {
  SlotHolderId m_id;
  int64_t m_slots = 0;
  // The version that added this entry. A holder that finds it above the version
  // it acted on was removed meanwhile, and its buckets must start empty.
  int64_t m_since = 0;

  bool operator==(const SlotHolder&) const = default;
};

// Slots are alike, so the table counts them. Invariants: holders are sorted by
// VM, one entry for each, each with at least one slot; their sum is at most
// m_slots, the rest is free.
struct SlotTable {
  // Rises by one with each write; 0: no table.
  int64_t m_version = 0;
  int64_t m_slots = 0;
  std::vector<SlotHolder> m_holders;
  // The VMs that held slots in the version before.
  std::vector<std::string> m_previous;

  bool operator==(const SlotTable&) const = default;
};

nlohmann::json SlotTableToJson(const SlotTable& table);
// Fails with kMalformedBody if a field is missing or an invariant is broken.
Result<SlotTable> SlotTableFromJson(const nlohmann::json& json);

int64_t FreeSlots(const SlotTable& table);
const SlotHolder* FindHolder(const SlotTable& table, std::string_view vm);
// Slots of this run of the VM; another run of it holds nothing.
int64_t SlotsOf(const SlotTable& table, const SlotHolderId& id);

// What a VM knows of another through its heartbeats.
struct SlotPeer {
  SlotHolderId m_id;
  // The version of the table that it knows.
  int64_t m_version = 0;
  // Holders that it reports silent under that version. A report stands until
  // it knows a newer version.
  std::set<SlotHolderId> m_reported;
  // Whether it may receive slots: live, not draining, with a lease.
  bool m_candidate = false;
};

// Whether a majority of the holders of this version and of the one before know
// it. Only then may the next version be written: a VM that still acts on an
// older version then finds no majority there.
bool IsSettled(const SlotTable& table, std::span<const SlotPeer> peers);

// Whether a majority of the holders report `id` silent under this version. A
// VM's newer run reports in the place of its older one.
bool IsReportedSilent(const SlotTable& table,
                      const SlotHolderId& id,
                      std::span<const SlotPeer> peers);

// Holders that may be taken over: all in `ended` (their lease has ended) that a
// majority reports silent.
std::vector<SlotHolderId> FindLost(const SlotTable& table,
                                   std::span<const SlotPeer> peers,
                                   std::span<const SlotHolderId> ended);

struct TableChange {
  SlotTable m_table;
  // Slots that `self` gives up by this change. It must stop using them before
  // the write.
  int64_t m_given_up = 0;
};

// The next version that `self` should write, if any: removes `lost` holders,
// gives up own slots above the fair share (all, if `leaving`), and hands free
// slots to candidates below theirs. `peers` includes `self`.
std::optional<TableChange> PlanTable(const SlotTable& table,
                                     int64_t slots,
                                     const SlotHolderId& self,
                                     bool leaving,
                                     std::span<const SlotPeer> peers,
                                     std::span<const SlotHolderId> lost);

// The same slots under the next version, which makes reports of silence void.
SlotTable NextVersion(const SlotTable& table);

}  // namespace bronzecross

#endif  // BRONZECROSS_LIMITS_SLOT_TABLE_H_
