// The slot table, as kept in the store, and the decisions on its changes. The
// slots are equal parts of every workspace's limit.

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
  // The version that added this entry. If it changes, the holder was removed in
  // between, and its buckets must start empty.
  int64_t m_since = 0;

  bool operator==(const SlotHolder&) const = default;
};

// Slots are interchangeable, so the table only counts them. Invariants: holders
// are sorted by VM; each VM has at most one entry, with at least one slot;
// their sum is at most m_slots, and the remaining slots are free.
struct SlotTable {
  // Incremented by each write; 0: no table.
  int64_t m_version = 0;
  int64_t m_slots = 0;
  std::vector<SlotHolder> m_holders;
  // The VMs that held slots in the previous version.
  std::vector<std::string> m_previous;

  bool operator==(const SlotTable&) const = default;
};

nlohmann::json SlotTableToJson(const SlotTable& table);
// Fails with kMalformedBody if a field is missing or an invariant is broken.
Result<SlotTable> SlotTableFromJson(const nlohmann::json& json);

int64_t FreeSlots(const SlotTable& table);
const SlotHolder* FindHolder(const SlotTable& table, std::string_view vm);
// Returns the number of slots that this run of the VM holds. Slots of another
// run of the same VM don't count.
int64_t SlotsOf(const SlotTable& table, const SlotHolderId& id);

// State of a VM, as received through its heartbeats.
struct SlotPeer {
  SlotHolderId m_id;
  // The version of the slot table that it knows.
  int64_t m_version = 0;
  // Holders that it reports as unresponsive under that version. A report stays
  // valid until it knows a newer version.
  std::set<SlotHolderId> m_reported;
  // Whether it may receive slots: live, not draining, with a lease.
  bool m_candidate = false;
};

// Whether a majority of the holders of this version, and one of the holders of
// the previous version, know this version. Only then may the next version be
// written: a VM that still acts on an older version then gets no majority.
bool IsSettled(const SlotTable& table, std::span<const SlotPeer> peers);

// Whether a majority of the holders report `id` as unresponsive under this
// version. The reports of a VM's newer run count for its older run.
bool IsReportedUnresponsive(const SlotTable& table,
                            const SlotHolderId& id,
                            std::span<const SlotPeer> peers);

// Returns the holders whose slots may be taken over: those in `ended` (their
// lease has ended) that a majority reports as unresponsive.
std::vector<SlotHolderId> FindLost(const SlotTable& table,
                                   std::span<const SlotPeer> peers,
                                   std::span<const SlotHolderId> ended);

struct TableChange {
  SlotTable m_table;
  // Slots that `self` releases by this change. It must stop using them before
  // the write.
  int64_t m_released = 0;
};

// Returns the next version that `self` should write, or std::nullopt if nothing
// changes. It removes `lost` holders, releases own slots above the fair share
// (all of them if `leaving`), and assigns free slots to candidates below their
// fair share. `peers` includes `self`.
std::optional<TableChange> PlanTable(const SlotTable& table,
                                     int64_t slots,
                                     const SlotHolderId& self,
                                     bool leaving,
                                     std::span<const SlotPeer> peers,
                                     std::span<const SlotHolderId> lost);

// Returns the same holders under the next version, which cancels all reports of
// unresponsive holders.
SlotTable NextVersion(const SlotTable& table);

}  // namespace bronzecross

#endif  // BRONZECROSS_LIMITS_SLOT_TABLE_H_
