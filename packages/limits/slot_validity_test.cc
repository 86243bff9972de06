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

// Guards against a lease under which no holder key stands yet.
TEST_CASE("a lease counts once it is registered") {
  const SlotTable table = MakeTable(3);
  CHECK(SlotsUsableUntil(table, Id(0), {5, 5, kNow + Millis(900)}, {}, kNow) ==
        kNow + Millis(900));
  CHECK(SlotsUsableUntil(table, Id(0), {4, 5, kNow + Millis(900)}, {}, kNow) ==
        Millis(0));
  CHECK(SlotsUsableUntil(table, Id(0, 2), {5, 5, kNow}, {}, kNow) == Millis(0));
}

// Guards against a right by fewer answers than a majority, by old answers, by
// answers under another version, by VMs that report this one, or by a VM's
// other run.
TEST_CASE("answers of a majority count for 1.5 s from the sending") {
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

TEST_CASE("the only holder is its own majority") {
  CHECK(SlotsUsableUntil(MakeTable(1), Id(0), {}, {}, kNow) ==
        kNow + kContactWindow);
}

// Guards against a VM that reports others silent because it has just started.
TEST_CASE("a VM up for less than 5 s reports nobody") {
  CHECK_FALSE(MayReportSilent({kNow - Millis(5000), Millis(0)}, kNow));
  CHECK(MayReportSilent({kNow - Millis(5001), Millis(0)}, kNow));
  CHECK_FALSE(
      MayReportSilent({kNow - Millis(9000), kNow - Millis(5000)}, kNow));
  CHECK(MayReportSilent({kNow - Millis(9000), kNow - Millis(5001)}, kNow));
}

}  // namespace bronzecross
