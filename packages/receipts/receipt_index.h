// In-memory index of the receipts of one shard. A receipt is the record of a
// request with an Idempotency-Key and of its outcome.

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
  kRunning,  // this owner is running the request
  kOrphan,   // an earlier owner left an intent without a result
  kDone,     // the result is recorded
};

struct Receipt {
  ReceiptState m_state = ReceiptState::kRunning;
  uint64_t m_request_hash = 0;
  bool m_idempotent = false;
  Millis m_created_at;
  // Only for kDone: the sequence number of the result in the ledger, and the
  // reply while it is held in memory.
  uint64_t m_sequence = 0;
  bool m_in_memory = false;
  HttpReply m_reply;
};

// How to handle a request with a key.
enum class ReceiptStep {
  kRun,            // the key is new: append an intent and run the request
  kRunAgain,       // an idempotent orphan: run the request under its intent
  kWait,           // the same request is running: wait for its result
  kReturnReply,    // return the recorded reply
  kMismatch,       // the key was used with a different request
  kOutcomeUnknown  // a non-idempotent orphan may have run
};

// Returns how to handle a request. `receipt` is the receipt of its key, or null
// if there is none.
ReceiptStep NextStep(const Receipt* receipt, uint64_t request_hash);

// Not thread-safe. Holds at most `max_reply_bytes` of replies and drops the
// oldest ones first; these can still be read from the ledger.
class ReceiptIndex {
 public:
  explicit ReceiptIndex(int64_t max_reply_bytes)
      : m_max_reply_bytes(max_reply_bytes) {}

  // Applies a record read from the ledger at `sequence`. An intent becomes an
  // orphan, until a later record has its result or voids it.
  void Replay(const ReceiptRecord& record, uint64_t sequence);

  // Returns null if there is no receipt, or if it was created before `oldest`
  // and is not running.
  const Receipt* Find(std::string_view id, Millis oldest) const;
  // Adds a running receipt, in place of any earlier one with the id.
  Receipt& Begin(const ReceiptRecord& intent);
  // Records the result, which is at `sequence` in the ledger.
  void Finish(const ReceiptRecord& result, uint64_t sequence);
  void Erase(std::string_view id);

  // Removes the receipts created before `oldest` that are not running.
  void Expire(Millis oldest);

  size_t size() const { return m_receipts.size(); }
  int64_t ReplyBytes() const { return m_reply_bytes; }
  std::map<std::string, Receipt, std::less<>>& Receipts() { return m_receipts; }

 private:
  void DropReply(Receipt& receipt);

  const int64_t m_max_reply_bytes;
  std::map<std::string, Receipt, std::less<>> m_receipts;
  // Ids of the receipts whose reply is in memory, oldest first. May include ids
  // of erased receipts.
  std::deque<std::string> m_replies;
  int64_t m_reply_bytes = 0;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_RECEIPTS_RECEIPT_INDEX_H_
