// The items of one job that are read from the input and have not ended, and
// which ones have. Bounded by what is read ahead, apart from one bit and one
// hash for each item.

#ifndef BRONZECROSS_BATCH_ITEM_TABLE_H_
#define BRONZECROSS_BATCH_ITEM_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "batch/batch_item.h"
#include "batch/item_outcome.h"

namespace bronzecross {

enum class ItemPhase {
  kReady,   // waits for a dispatcher
  kIntent,  // waits until the record of the intent to run it is durable
  kOut,     // a dispatcher has it
  kEnding,  // its result waits until it is durable
};

struct OpenItem {
  uint64_t m_index = 0;
  BatchItem m_item;
  // What it needs of an upstream: "m:<model>" or "s:<service>".
  std::string m_need;
  bool m_idempotent = true;
  ItemPhase m_phase = ItemPhase::kReady;
  int m_tries = 0;
  // Ran while an upstream died; it runs alone from then on.
  bool m_suspect = false;
  bool m_has_intent = false;
  // The output that an earlier run collected before it gave way.
  std::string m_partial;
  // The dispatcher that has it: "<VM>#<incarnation>", and since when.
  std::string m_holder;
  Millis m_out_since;
};

struct ItemTable {
  std::map<uint64_t, OpenItem> m_open;
  // Indexes of the ready items by need; suspects are kept apart.
  std::map<std::string, std::set<uint64_t>, std::less<>> m_ready;
  std::map<std::string, std::set<uint64_t>, std::less<>> m_suspects;
  // Whether the result of an item is durable.
  std::vector<bool> m_done;
  // Failed tries and intents of items without a result, from the ledger.
  std::map<uint64_t, int> m_tries;
  std::set<uint64_t> m_intents;
};

bool IsDone(const ItemTable& table, uint64_t index);
void SetDone(ItemTable& table, uint64_t index);

// Adds an item that waits for a dispatcher.
void AddReady(ItemTable& table, OpenItem item);

// Puts an item back among the ready ones.
void MakeReady(ItemTable& table, uint64_t index);

// Takes an item out of the ready ones and sets its phase.
void LeaveReady(ItemTable& table, uint64_t index, ItemPhase phase);

// Up to `max` ready items for `need`, lowest index first; suspects only if
// `suspects` is set.
std::vector<uint64_t> FindReady(const ItemTable& table,
                                std::string_view need,
                                size_t max,
                                bool suspects);

enum class ItemVerdict {
  kIgnore,   // the item has ended, or its end is being written
  kFinish,   // write the result
  kCharge,   // write the failed try, then let it run again
  kGiveUp,   // write that it failed
  kRequeue,  // let it run again
};

// What an owner does with `outcome` for an item in `table`, whether it is open
// there or not yet read.
ItemVerdict JudgeOutcome(const ItemTable& table, const ItemOutcome& outcome);

// The verdict on an item whose dispatcher has been lost with it.
ItemVerdict JudgeLostItem(const OpenItem& item);

// An item that failed this often ends as failed.
inline constexpr int kMaxItemTries = 3;

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_ITEM_TABLE_H_
