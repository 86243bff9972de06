#include "batch/item_table.h"

#include <cassert>

namespace bronzecross {
namespace {

std::set<uint64_t>& ReadySet(ItemTable& table, const OpenItem& item) {
  return item.m_suspect ? table.m_suspects[item.m_need]
                        : table.m_ready[item.m_need];
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
  table.m_tries.erase(index);
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
  item.m_holder.clear();
  ReadySet(table, item).insert(index);
}

void LeaveReady(ItemTable& table, uint64_t index, ItemPhase phase) {
  OpenItem& item = table.m_open.at(index);
  table.m_ready[item.m_need].erase(index);
  table.m_suspects[item.m_need].erase(index);
  item.m_phase = phase;
}

std::vector<uint64_t> FindReady(const ItemTable& table,
                                std::string_view need,
                                size_t max,
                                bool suspects) {
  std::vector<uint64_t> indexes;
  const auto& sets = suspects ? table.m_suspects : table.m_ready;
  const auto found = sets.find(need);
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

ItemVerdict JudgeOutcome(const ItemTable& table, const ItemOutcome& outcome) {
  if (IsDone(table, outcome.m_index)) {
    return ItemVerdict::kIgnore;
  }
  const auto found = table.m_open.find(outcome.m_index);
  const OpenItem* item = found != table.m_open.end() ? &found->second : nullptr;
  if (item != nullptr && item->m_phase == ItemPhase::kEnding) {
    return ItemVerdict::kIgnore;
  }
  switch (outcome.m_kind) {
    case OutcomeKind::kAnswered:
    case OutcomeKind::kUnknown:
      return ItemVerdict::kFinish;
    case OutcomeKind::kFailedTry: {
      const auto earlier = table.m_tries.find(outcome.m_index);
      const int tries = item != nullptr                  ? item->m_tries
                        : earlier != table.m_tries.end() ? earlier->second
                                                         : 0;
      return tries + 1 >= kMaxItemTries ? ItemVerdict::kGiveUp
                                        : ItemVerdict::kCharge;
    }
    case OutcomeKind::kNotRun:
    case OutcomeKind::kYielded:
      // A late answer about an earlier hand-out changes nothing.
      return item != nullptr && item->m_phase == ItemPhase::kOut &&
                     item->m_holder == outcome.m_holder
                 ? ItemVerdict::kRequeue
                 : ItemVerdict::kIgnore;
  }
  return ItemVerdict::kIgnore;
}

ItemVerdict JudgeLostItem(const OpenItem& item) {
  return item.m_idempotent ? ItemVerdict::kRequeue : ItemVerdict::kGiveUp;
}

}  // namespace bronzecross
