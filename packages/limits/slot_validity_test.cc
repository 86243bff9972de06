#include "limits/slot_validity.h"

#include <doctest/doctest.h>

namespace bronzecross {
namespace {

SlotHolderId Id(int vm, int64_t incarnation = 1) {
  return {"vm-" + std::to_string(vm), incarnation};
}

SlotTable MakeTable(int holders) {
  SlotTable table{7, 24, {}, {}};
  for (int vm = 0; vm < holders; ++vm) {
    table.m_holders.push_back({Id(vm), 24 / holders, 1});
  }
  return table;
}

constexpr Millis kNow{100'000};

}  // namespace

// Guards against counting a lease to which no holder key is attached yet.
TEST_CASE("a lease allows the use of slots only after its registration") {
  const SlotTable table = MakeTable(3);
  CHECK(SlotsUsableUntil(table, Id(0), {5, 5, kNow + Millis(900)}, {}, kNow) ==
        kNow + Millis(900));
  CHECK(SlotsUsableUntil(table, Id(0), {4, 5, kNow + Millis(900)}, {}, kNow) ==
        Millis(0));
  CHECK(SlotsUsableUntil(table, Id(0, 2), {5, 5, kNow}, {}, kNow) == Millis(0));
}

// Guards against the use of slots based on replies of less than a majority, old
// replies, replies under another version, replies of VMs that report this one,
// or replies of another run of a VM.
TEST_CASE(
    "replies of a majority are valid for 1.5 s from the sending of the "
    "heartbeats") {
  const SlotTable table = MakeTable(4);
  const SlotContact good1{Id(1), kNow - Millis(100), 7, false};
  const SlotContact good2{Id(2), kNow - Millis(300), 7, false};
  const auto until = [&](std::vector<SlotContact> contacts) {
    return SlotsUsableUntil(table, Id(0), {}, contacts, kNow);
  };
  CHECK(until({good1, good2}) == kNow + Millis(1200));
  CHECK(until({good1}) == Millis(0));
  CHECK(until({good1, {Id(2), Millis(0), 7, false}}) == Millis(0));
  CHECK(until({good1, {Id(2), kNow, 6, false}}) == Millis(0));
  CHECK(until({good1, {Id(2), kNow, 8, false}}) == Millis(0));
  CHECK(until({good1, {Id(2), kNow, 7, true}}) == Millis(0));
  CHECK(until({good1, {Id(2, 2), kNow, 7, false}}) == Millis(0));
  CHECK(until({good1, {Id(9), kNow, 7, false}}) == Millis(0));
}

TEST_CASE("a single holder is a majority by itself") {
  CHECK(SlotsUsableUntil(MakeTable(1), Id(0), {}, {}, kNow) ==
        kNow + kContactWindow);
}

// Guards against a VM that reports others as unresponsive only because it has
// just started.
TEST_CASE("a VM reports no holder in the first 5 s after its start") {
  CHECK_FALSE(MayReportUnresponsive({kNow - Millis(5000), Millis(0)}, kNow));
  CHECK(MayReportUnresponsive({kNow - Millis(5001), Millis(0)}, kNow));
  CHECK_FALSE(
      MayReportUnresponsive({kNow - Millis(9000), kNow - Millis(5000)}, kNow));
  CHECK(
      MayReportUnresponsive({kNow - Millis(9000), kNow - Millis(5001)}, kNow));
}

}  // namespace bronzecross
