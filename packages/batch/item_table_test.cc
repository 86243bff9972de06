// What an owner does with the outcomes that dispatchers offer.

#include "batch/item_table.h"

#include <doctest/doctest.h>

namespace bronzecross {
namespace {

ItemTable MakeTable(bool idempotent) {
  ItemTable table;
  OpenItem item;
  item.m_index = 7;
  item.m_need = "m:m";
  item.m_idempotent = idempotent;
  AddReady(table, item);
  LeaveReady(table, 7, ItemPhase::kOut);
  table.m_open.at(7).m_holder = "vm-1#1";
  return table;
}

ItemOutcome Outcome(OutcomeKind kind, const std::string& holder = "vm-1#1") {
  ItemOutcome outcome;
  outcome.m_index = 7;
  outcome.m_kind = kind;
  outcome.m_holder = holder;
  return outcome;
}

}  // namespace

// Guards against repeated results: the same one offered twice, and one offered
// by a dispatcher that an earlier owner had asked.
TEST_CASE("a result is accepted once, whoever offers it") {
  ItemTable table = MakeTable(true);
  CHECK(JudgeOutcome(table, Outcome(OutcomeKind::kAnswered, "vm-9#4")) ==
        ItemVerdict::kFinish);
  table.m_open.at(7).m_phase = ItemPhase::kEnding;
  CHECK(JudgeOutcome(table, Outcome(OutcomeKind::kAnswered)) ==
        ItemVerdict::kIgnore);
  SetDone(table, 7);
  CHECK(table.m_open.empty());
  CHECK(JudgeOutcome(table, Outcome(OutcomeKind::kAnswered)) ==
        ItemVerdict::kIgnore);
}

TEST_CASE("a result for an item that is not read yet is accepted") {
  const ItemTable table;
  CHECK(JudgeOutcome(table, Outcome(OutcomeKind::kAnswered)) ==
        ItemVerdict::kFinish);
}

// Guards against an item that is handed out twice because an earlier holder
// returns it late.
TEST_CASE("only the holder returns an item") {
  ItemTable table = MakeTable(true);
  CHECK(JudgeOutcome(table, Outcome(OutcomeKind::kYielded, "vm-2#1")) ==
        ItemVerdict::kIgnore);
  CHECK(JudgeOutcome(table, Outcome(OutcomeKind::kYielded)) ==
        ItemVerdict::kRequeue);
  MakeReady(table, 7);
  CHECK(JudgeOutcome(table, Outcome(OutcomeKind::kNotRun)) ==
        ItemVerdict::kIgnore);
}

TEST_CASE("an item ends as failed after three tries, over all owners") {
  ItemTable table = MakeTable(true);
  CHECK(JudgeOutcome(table, Outcome(OutcomeKind::kFailedTry)) ==
        ItemVerdict::kCharge);
  table.m_open.at(7).m_tries = 2;
  CHECK(JudgeOutcome(table, Outcome(OutcomeKind::kFailedTry)) ==
        ItemVerdict::kGiveUp);
  ItemTable recovered;
  recovered.m_tries[7] = 2;
  CHECK(JudgeOutcome(recovered, Outcome(OutcomeKind::kFailedTry)) ==
        ItemVerdict::kGiveUp);
}

TEST_CASE("a lost non-idempotent item is not run again") {
  CHECK(JudgeLostItem(MakeTable(false).m_open.at(7)) == ItemVerdict::kGiveUp);
  CHECK(JudgeLostItem(MakeTable(true).m_open.at(7)) == ItemVerdict::kRequeue);
}

TEST_CASE("suspects are found only when asked for") {
  ItemTable table = MakeTable(true);
  table.m_open.at(7).m_suspect = true;
  MakeReady(table, 7);
  CHECK(FindReady(table, "m:m", 5, false).empty());
  CHECK(FindReady(table, "m:m", 5, true) == std::vector<uint64_t>{7});
  CHECK(FindReady(table, "m:other", 5, true).empty());
}

}  // namespace bronzecross
