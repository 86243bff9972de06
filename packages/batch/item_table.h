// The unfinished items of one job that have been read from its input, and one
// bit for each finished item. Memory use is bounded by the read-ahead, apart
// from that bit and the hash of each custom_id in JobRun.

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
  kReady,           // waits to be assigned to a dispatcher
  kAwaitingRecord,  // waits until its intent or failed attempt is durable
  kAssigned,        // a dispatcher holds it
  kCommitting,      // its result is not durable yet
};

struct OpenItem {
  uint64_t m_index = 0;
  BatchItem m_item;
  // The capability that it needs of an upstream: "m:<model>" or "s:<service>".
  std::string m_capability;
  bool m_idempotent = true;
  ItemPhase m_phase = ItemPhase::kReady;
  // Failed attempts so far.
  int m_attempts = 0;
  // Whether it is a suspected poison request, because an upstream failed while
  // it ran. It runs exclusively from then on.
  bool m_suspect = false;
  bool m_has_intent = false;
  // The text that earlier runs generated before they were preempted.
  std::string m_partial;
  // The dispatcher that holds it, "<VM>#<incarnation>", and since when.
  std::string m_dispatcher_id;
  Millis m_assigned_at;
};

struct ItemTable {
  std::map<uint64_t, OpenItem> m_open;
  // Indexes of the ready items by capability; suspects are kept separately.
  std::map<std::string, std::set<uint64_t>, std::less<>> m_ready;
  std::map<std::string, std::set<uint64_t>, std::less<>> m_suspects;
  // Whether the result of an item is durable, by its index.
  std::vector<bool> m_done;
  // Failed attempts and intents of items without a result, as recorded in the
  // ledger.
  std::map<uint64_t, int> m_attempts;
  std::set<uint64_t> m_intents;
};

bool IsDone(const ItemTable& table, uint64_t index);
void SetDone(ItemTable& table, uint64_t index);

// Adds an item that is ready to be assigned.
void AddReady(ItemTable& table, OpenItem item);

// Makes an open item ready again.
void MakeReady(ItemTable& table, uint64_t index);

// Removes an open item from the ready ones and sets its phase.
void RemoveReady(ItemTable& table, uint64_t index, ItemPhase phase);

// Returns up to `max` ready items for `capability`, lowest index first: only
// suspects if `suspects` is set, else only the others.
std::vector<uint64_t> FindReady(const ItemTable& table,
                                std::string_view capability,
                                size_t max,
                                bool suspects);

enum class ItemAction {
  kIgnore,  // the item has ended or its end is being written, or the report is
            // outdated
  kFinish,  // write the result
  kCountAttempt,  // write the failed attempt, then run the item again
  kFail,          // write that the item failed
  kRequeue,       // run the item again
};

// Decides how the job's owner handles `outcome`. The item may be open in
// `table` or not read from the input yet.
ItemAction DecideItemAction(const ItemTable& table, const ItemOutcome& outcome);

// Decides how the job's owner handles an assigned item that its dispatcher does
// not hold any more.
ItemAction DecideLostItemAction(const OpenItem& item);

// Number of failed attempts after which an item is not run again.
inline constexpr int kMaxItemAttempts = 3;

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_ITEM_TABLE_H_
