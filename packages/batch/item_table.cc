#include "batch/item_table.h"

#include <cassert>

namespace bronzecross {
namespace {

std::set<uint64_t>& ReadySet(ItemTable& table, const OpenItem& item) {
  return item.m_suspect ? table.m_suspects[item.m_capability]
                        : table.m_ready[item.m_capability];
}

}  // namespace

bool IsDone(const ItemTable& table, uint64_t index) {
  return index < table.m_done.size() && table.m_done[index];
}

void SetDone(ItemTable& table, uint64_t index) {
  if (table.m_done.size() <= index) {
    table.m_done.resize(index + 1);
  }
  table.m_done[index] = true;
  table.m_attempts.erase(index);
  table.m_intents.erase(index);
  const auto found = table.m_open.find(index);
  if (found != table.m_open.end()) {
    ReadySet(table, found->second).erase(index);
    table.m_open.erase(found);
  }
}

void AddReady(ItemTable& table, OpenItem item) {
  assert(!IsDone(table, item.m_index));
  const uint64_t index = item.m_index;
  item.m_phase = ItemPhase::kReady;
  ReadySet(table, item).insert(index);
  table.m_open.insert_or_assign(index, std::move(item));
}

void MakeReady(ItemTable& table, uint64_t index) {
  OpenItem& item = table.m_open.at(index);
  item.m_phase = ItemPhase::kReady;
  item.m_dispatcher_id.clear();
  ReadySet(table, item).insert(index);
}

void RemoveReady(ItemTable& table, uint64_t index, ItemPhase phase) {
  OpenItem& item = table.m_open.at(index);
  table.m_ready[item.m_capability].erase(index);
  table.m_suspects[item.m_capability].erase(index);
  item.m_phase = phase;
}

std::vector<uint64_t> FindReady(const ItemTable& table,
                                std::string_view capability,
                                size_t max,
                                bool suspects) {
  std::vector<uint64_t> indexes;
  const auto& sets = suspects ? table.m_suspects : table.m_ready;
  const auto found = sets.find(capability);
  if (found != sets.end()) {
    for (const uint64_t index : found->second) {
      if (indexes.size() >= max) {
        break;
      }
      indexes.push_back(index);
    }
  }
  return indexes;
}

ItemAction DecideItemAction(const ItemTable& table,
                            const ItemOutcome& outcome) {
  if (IsDone(table, outcome.m_index)) {
    return ItemAction::kIgnore;
  }
  const auto found = table.m_open.find(outcome.m_index);
  const OpenItem* item = found != table.m_open.end() ? &found->second : nullptr;
  if (item != nullptr && item->m_phase == ItemPhase::kCommitting) {
    return ItemAction::kIgnore;
  }
  switch (outcome.m_kind) {
    case OutcomeKind::kResponded:
    case OutcomeKind::kUnknown:
      return ItemAction::kFinish;
    case OutcomeKind::kFailedAttempt: {
      const auto earlier = table.m_attempts.find(outcome.m_index);
      const int attempts = item != nullptr ? item->m_attempts
                           : earlier != table.m_attempts.end() ? earlier->second
                                                               : 0;
      return attempts + 1 >= kMaxItemAttempts ? ItemAction::kFail
                                              : ItemAction::kCountAttempt;
    }
    case OutcomeKind::kNotRun:
    case OutcomeKind::kPreempted:
      // A late report on an earlier assignment is ignored.
      return item != nullptr && item->m_phase == ItemPhase::kAssigned &&
                     item->m_dispatcher_id == outcome.m_dispatcher_id
                 ? ItemAction::kRequeue
                 : ItemAction::kIgnore;
  }
  return ItemAction::kIgnore;
}

ItemAction DecideLostItemAction(const OpenItem& item) {
  return item.m_idempotent ? ItemAction::kRequeue : ItemAction::kFail;
}

}  // namespace bronzecross
