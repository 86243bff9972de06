// Tests how an owner handles the outcomes that dispatchers report.

#include "batch/item_table.h"

#include <doctest/doctest.h>

namespace bronzecross {
namespace {

ItemTable MakeTable(bool idempotent) {
  ItemTable table;
  OpenItem item;
  item.m_index = 7;
  item.m_capability = "m:m";
  item.m_idempotent = idempotent;
  AddReady(table, item);
  RemoveReady(table, 7, ItemPhase::kAssigned);
  table.m_open.at(7).m_dispatcher_id = "vm-1#1";
  return table;
}

ItemOutcome Outcome(OutcomeKind kind,
                    const std::string& dispatcher_id = "vm-1#1") {
  ItemOutcome outcome;
  outcome.m_index = 7;
  outcome.m_kind = kind;
  outcome.m_dispatcher_id = dispatcher_id;
  return outcome;
}

}  // namespace

// Guards against duplicate results: one that is reported twice, and one that is
// reported by a dispatcher to which an earlier owner assigned the item.
TEST_CASE("a result is accepted once, from any dispatcher") {
  ItemTable table = MakeTable(true);
  CHECK(DecideItemAction(table, Outcome(OutcomeKind::kResponded, "vm-9#4")) ==
        ItemAction::kFinish);
  table.m_open.at(7).m_phase = ItemPhase::kCommitting;
  CHECK(DecideItemAction(table, Outcome(OutcomeKind::kResponded)) ==
        ItemAction::kIgnore);
  SetDone(table, 7);
  CHECK(table.m_open.empty());
  CHECK(DecideItemAction(table, Outcome(OutcomeKind::kResponded)) ==
        ItemAction::kIgnore);
}

TEST_CASE("a result is accepted for an item that has not been read yet") {
  const ItemTable table;
  CHECK(DecideItemAction(table, Outcome(OutcomeKind::kResponded)) ==
        ItemAction::kFinish);
}

// Guards against an item that is assigned twice because a dispatcher that held
// it earlier returns it late.
TEST_CASE("only the dispatcher that holds an item can return it") {
  ItemTable table = MakeTable(true);
  CHECK(DecideItemAction(table, Outcome(OutcomeKind::kPreempted, "vm-2#1")) ==
        ItemAction::kIgnore);
  CHECK(DecideItemAction(table, Outcome(OutcomeKind::kPreempted)) ==
        ItemAction::kRequeue);
  MakeReady(table, 7);
  CHECK(DecideItemAction(table, Outcome(OutcomeKind::kNotRun)) ==
        ItemAction::kIgnore);
}

TEST_CASE("an item fails after three attempts, counted across owners") {
  ItemTable table = MakeTable(true);
  CHECK(DecideItemAction(table, Outcome(OutcomeKind::kFailedAttempt)) ==
        ItemAction::kCountAttempt);
  table.m_open.at(7).m_attempts = 2;
  CHECK(DecideItemAction(table, Outcome(OutcomeKind::kFailedAttempt)) ==
        ItemAction::kFail);
  ItemTable recovered;
  recovered.m_attempts[7] = 2;
  CHECK(DecideItemAction(recovered, Outcome(OutcomeKind::kFailedAttempt)) ==
        ItemAction::kFail);
}

TEST_CASE("a lost non-idempotent item is not run again") {
  CHECK(DecideLostItemAction(MakeTable(false).m_open.at(7)) ==
        ItemAction::kFail);
  CHECK(DecideLostItemAction(MakeTable(true).m_open.at(7)) ==
        ItemAction::kRequeue);
}

TEST_CASE("suspects are found only when requested") {
  ItemTable table = MakeTable(true);
  table.m_open.at(7).m_suspect = true;
  MakeReady(table, 7);
  CHECK(FindReady(table, "m:m", 5, false).empty());
  CHECK(FindReady(table, "m:m", 5, true) == std::vector<uint64_t>{7});
  CHECK(FindReady(table, "m:other", 5, true).empty());
}

}  // namespace bronzecross
