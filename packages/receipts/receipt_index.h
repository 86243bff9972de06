// The receipts of one shard in memory: what each key's request came to.

#ifndef BRONZECROSS_RECEIPTS_RECEIPT_INDEX_H_
#define BRONZECROSS_RECEIPTS_RECEIPT_INDEX_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "receipts/receipt_record.h"

namespace bronzecross {

enum class ReceiptState {
  kRunning,  // by this owner, now
  kOrphan,   // an intent without a result, left by an earlier owner
  kDone,
};

struct Receipt {
  ReceiptState m_state = ReceiptState::kRunning;
  uint64_t m_request_hash = 0;
  bool m_idempotent = false;
  Millis m_at;
  // Done only: the result's place in the ledger, and its reply while that is
  // held in memory.
  uint64_t m_sequence = 0;
  bool m_in_memory = false;
  HttpReply m_reply;
};

// What a request with a key must do.
enum class ReceiptStep {
  kRun,            // no other request has the key: append an intent and run
  kRunAgain,       // an idempotent orphan: run, the intent is there
  kWait,           // the same request is running
  kAnswer,         // give the kept reply
  kMismatch,       // the key was used with another request
  kOutcomeUnknown  // a non-idempotent orphan may have run
};

// `receipt` is null if there is none for the key.
ReceiptStep NextStep(const Receipt* receipt, uint64_t request_hash);

// Not thread-safe. Replies beyond `max_reply_bytes` are dropped from memory,
// oldest first; the ledger still has them.
class ReceiptIndex {
 public:
  explicit ReceiptIndex(int64_t max_reply_bytes)
      : m_max_reply_bytes(max_reply_bytes) {}

  // Applies a record read from the ledger at `sequence`: intents become
  // orphans.
  void Replay(const ReceiptRecord& record, uint64_t sequence);

  // Null if there is none, or it was made before `oldest`.
  const Receipt* Find(std::string_view id, Millis oldest) const;
  Receipt& Begin(const ReceiptRecord& intent);
  void Finish(const ReceiptRecord& result, uint64_t sequence);
  void Erase(std::string_view id);

  // Removes those made before `oldest` that are not running.
  void Expire(Millis oldest);

  size_t size() const { return m_receipts.size(); }
  int64_t ReplyBytes() const { return m_reply_bytes; }
  std::map<std::string, Receipt, std::less<>>& Receipts() { return m_receipts; }

 private:
  void DropReply(Receipt& receipt);

  const int64_t m_max_reply_bytes;
  std::map<std::string, Receipt, std::less<>> m_receipts;
  // Ids whose reply is in memory, oldest first; may name erased ones.
  std::deque<std::string> m_replies;
  int64_t m_reply_bytes = 0;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_RECEIPTS_RECEIPT_INDEX_H_
