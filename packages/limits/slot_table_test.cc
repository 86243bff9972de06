#include "limits/slot_table.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "base/random.h"

namespace bronzecross {
namespace {

constexpr int64_t kSlots = 24;

SlotHolderId Id(int vm, int64_t incarnation = 1) {
  return {"vm-" + std::to_string(vm), incarnation};
}

// Returns `count` live VMs that know `version`.
std::vector<SlotPeer> MakePeers(int count, int64_t version) {
  std::vector<SlotPeer> peers;
  for (int vm = 0; vm < count; ++vm) {
    peers.push_back({Id(vm), version, {}, true});
  }
  return peers;
}

SlotTable MakeTable(int holders) {
  return PlanTable({}, kSlots, Id(0), false, MakePeers(holders, 0), {})
      ->m_table;
}

}  // namespace

TEST_CASE(
    "a new table gives each VM its fair share and is unchanged by encoding and "
    "decoding") {
  const SlotTable table = MakeTable(5);
  CHECK(FreeSlots(table) == 0);
  CHECK(SlotsOf(table, Id(0)) == 5);
  CHECK(SlotsOf(table, Id(4)) == 4);
  CHECK(SlotsOf(table, Id(4, 2)) == 0);
  CHECK(*SlotTableFromJson(SlotTableToJson(table)) == table);
  SlotTable wrong = table;
  wrong.m_holders[0].m_slots = 20;
  CHECK_FALSE(SlotTableFromJson(SlotTableToJson(wrong)).has_value());
}

// Guards against taking slots from a VM that may still use them.
TEST_CASE("only a holder moves its own slots to a new VM") {
  const SlotTable table = MakeTable(3);
  const std::vector<SlotPeer> peers = MakePeers(4, table.m_version);
  const std::optional<TableChange> by_new =
      PlanTable(table, kSlots, Id(3), false, peers, {});
  CHECK_FALSE(by_new.has_value());
  const std::optional<TableChange> by_holder =
      PlanTable(table, kSlots, Id(0), false, peers, {});
  REQUIRE(by_holder.has_value());
  CHECK(by_holder->m_released == 2);
  CHECK(SlotsOf(by_holder->m_table, Id(3)) == 2);
  CHECK(SlotsOf(by_holder->m_table, Id(1)) == 8);
}

TEST_CASE("a leaving VM hands over all its slots") {
  const SlotTable table = MakeTable(3);
  std::vector<SlotPeer> peers = MakePeers(3, table.m_version);
  peers[0].m_candidate = false;
  const std::optional<TableChange> change =
      PlanTable(table, kSlots, Id(0), true, peers, {});
  REQUIRE(change.has_value());
  CHECK(change->m_released == 8);
  CHECK(SlotsOf(change->m_table, Id(1)) == 12);
  CHECK(FreeSlots(change->m_table) == 0);
}

// Guards against a takeover by a minority, or with reports under an older
// version of the table.
TEST_CASE(
    "a takeover needs an ended lease and reports by a majority under the "
    "current version") {
  const SlotTable table = MakeTable(4);
  std::vector<SlotPeer> peers = MakePeers(4, table.m_version);
  const std::vector<SlotHolderId> ended = {Id(3)};
  peers[0].m_reported = peers[1].m_reported = {Id(3)};
  CHECK(FindLost(table, peers, ended).empty());
  peers[2].m_reported = {Id(3)};
  CHECK(FindLost(table, peers, ended).size() == 1);
  CHECK(FindLost(table, peers, {}).empty());
  peers[2].m_version = table.m_version - 1;
  CHECK(FindLost(table, peers, ended).empty());
}

// Guards against slots that are never taken over after all VMs restarted at
// once.
TEST_CASE("reports of a VM's newer run count for its older run") {
  const SlotTable table = MakeTable(2);
  std::vector<SlotPeer> peers = MakePeers(2, table.m_version);
  peers[0].m_id.m_incarnation = peers[1].m_id.m_incarnation = 2;
  peers[0].m_reported = peers[1].m_reported = {Id(0), Id(1)};
  const std::vector<SlotHolderId> ended = {Id(0), Id(1)};
  const std::vector<SlotHolderId> lost = FindLost(table, peers, ended);
  CHECK(lost.size() == 2);
  const std::optional<TableChange> change =
      PlanTable(table, kSlots, Id(0, 2), false, peers, lost);
  REQUIRE(change.has_value());
  CHECK(SlotsOf(change->m_table, Id(0, 2)) == 12);
  CHECK(FindHolder(change->m_table, "vm-0")->m_since ==
        change->m_table.m_version);
}

// Guards against two versions whose majorities have no VM in common.
TEST_CASE(
    "a version is settled once majorities of its own and of the previous "
    "holders know it") {
  SlotTable table = MakeTable(3);
  table = NextVersion(table);
  std::vector<SlotPeer> peers = MakePeers(3, table.m_version);
  CHECK(IsSettled(table, peers));
  peers[0].m_version = 1;
  CHECK(IsSettled(table, peers));
  peers[1].m_version = 1;
  CHECK_FALSE(IsSettled(table, peers));
  table.m_previous = {"vm-8", "vm-9"};
  CHECK_FALSE(IsSettled(table, MakePeers(3, table.m_version)));
}

// Guards against creating slots, losing slots or taking them from another VM,
// in random sequences of joining, lost and leaving VMs.
TEST_CASE(
    "a change takes slots only from lost VMs and from the VM that writes it") {
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    SlotTable table;
    for (int step = 0; step < 30; ++step) {
      std::vector<SlotPeer> peers;
      std::vector<SlotHolderId> lost;
      for (int vm = 0; vm < 7; ++vm) {
        const int64_t incarnation =
            1 + static_cast<int64_t>(RandomBelow(random, 2));
        peers.push_back({Id(vm, incarnation),
                         table.m_version,
                         {},
                         RandomBelow(random, 4) != 0});
        if (RandomBelow(random, 8) == 0) {
          lost.push_back(Id(vm));
        }
      }
      const SlotHolderId self = peers[RandomBelow(random, 7)].m_id;
      std::erase(lost, self);
      const std::optional<TableChange> change = PlanTable(
          table, kSlots, self, RandomBelow(random, 10) == 0, peers, lost);
      if (!change) {
        continue;
      }
      REQUIRE(SlotTableFromJson(SlotTableToJson(change->m_table)).has_value());
      REQUIRE(change->m_table.m_version == table.m_version + 1);
      for (const SlotHolder& holder : table.m_holders) {
        const bool may_shrink =
            holder.m_id == self ||
            std::find(lost.begin(), lost.end(), holder.m_id) != lost.end();
        REQUIRE((may_shrink ||
                 SlotsOf(change->m_table, holder.m_id) >= holder.m_slots));
      }
      REQUIRE(SlotsOf(change->m_table, self) >=
              SlotsOf(table, self) - change->m_released);
      table = change->m_table;
    }
  }
}

}  // namespace bronzecross
