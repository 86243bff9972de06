// A receipt shard on the VM that owns it. Runs the request of each key once.

#ifndef BRONZECROSS_RECEIPTS_RECEIPT_SHARD_H_
#define BRONZECROSS_RECEIPTS_RECEIPT_SHARD_H_

#include <functional>
#include <memory>
#include <string>

#include <absl/synchronization/mutex.h>

#include "http/http_message.h"
#include "ledger/ledger.h"
#include "receipts/receipt_index.h"

namespace bronzecross {

struct KeyedRequest {
  std::string m_receipt_id;
  std::string m_workspace;
  bool m_idempotent = false;
  HttpRequest m_request;
};

// Sends the workspace's request to an upstream and returns the reply. An error
// reply made by bronzecross has the header kRunHeader.
using ReceiptExecutor =
    std::function<HttpReply(const std::string& workspace, const HttpRequest&)>;

struct ReceiptOptions {
  // Time for which receipts are kept.
  Millis m_retention_time{24 * 3'600'000};
  // Maximum number of receipts per shard.
  int64_t m_max_entries = 200'000;
  // Maximum size of the replies held in memory per shard.
  int64_t m_max_reply_bytes = 4 << 20;
};

// Thread-safe.
class ReceiptShard {
 public:
  ReceiptShard(ReceiptOptions options,
               LedgerService& ledgers,
               std::string ledger_id,
               std::unique_ptr<LedgerWriter> writer);

  // Reads the records of earlier owners. Call once, before Run().
  Status Load();

  // Returns the final reply for the caller, which may be an error reply. Fails
  // if the owner should be looked up again; the error says whether the request
  // may have run.
  Result<HttpReply> Run(const KeyedRequest& request,
                        Millis deadline,
                        const ReceiptExecutor& executor);

  // Returns whether an append failed or the outcome of a compaction is unknown.
  // The shard must then be taken over again.
  bool IsBroken() const;
  // Rejects new requests and waits until `deadline` for the running ones.
  void Close(Millis deadline);

  // Returns whether most of the ledger's records are obsolete.
  bool NeedsCompaction();
  // Copies the live receipts into the new ledger `id`, calls `commit` to record
  // the new ledger and switches to it. Appends wait meanwhile. The shard is
  // broken if `commit` fails with an unknown outcome or a conflict.
  Status Compact(const std::string& id, const std::function<Status()>& commit);

  std::string LedgerId() const;

 private:
  Result<HttpReply> RunNew(const KeyedRequest& request,
                           ReceiptRecord record,
                           bool append_intent,
                           const ReceiptExecutor& executor);
  // Appends the result to the ledger, or a void record if the request may run
  // again.
  Result<HttpReply> RecordOutcome(const KeyedRequest& request,
                                  ReceiptRecord record,
                                  HttpReply reply);
  Result<HttpReply> ReadReply(uint64_t sequence);
  Result<uint64_t> Append(const ReceiptRecord& record)
      ABSL_SHARED_LOCKS_REQUIRED(m_ledger_mutex);
  // Removes the receipt of a running request.
  void EraseRunning(const std::string& id);
  // Returns the records to copy in a compaction. `results` gets the id of each
  // record that is a result, and an empty string for the others.
  Result<std::vector<std::string>> LiveRecords(
      std::vector<std::string>& results)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_ledger_mutex);

  const ReceiptOptions m_options;
  LedgerService& m_ledgers;
  // Held shared by appends and exclusively by a compaction.
  mutable absl::Mutex m_ledger_mutex;
  std::string m_ledger_id ABSL_GUARDED_BY(m_ledger_mutex);
  std::unique_ptr<LedgerWriter> m_writer ABSL_GUARDED_BY(m_ledger_mutex);

  mutable absl::Mutex m_mutex;
  ReceiptIndex m_index ABSL_GUARDED_BY(m_mutex);
  // Number of records in the ledger.
  uint64_t m_records ABSL_GUARDED_BY(m_mutex) = 0;
  int m_running ABSL_GUARDED_BY(m_mutex) = 0;
  bool m_broken ABSL_GUARDED_BY(m_mutex) = false;
  bool m_closed ABSL_GUARDED_BY(m_mutex) = false;
};

// Reads a streamed reply into its body. If the stream fails, returns an error
// reply with run state "unknown".
HttpReply ReadWholeReply(HttpReply reply);

}  // namespace bronzecross

#endif  // BRONZECROSS_RECEIPTS_RECEIPT_SHARD_H_
