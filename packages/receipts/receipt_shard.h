// One receipt shard on the VM that owns it: runs each key's request once.

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

// Sends the workspace's request to an upstream and returns the whole reply. A
// refusal carries the header kRunHeader.
using ReceiptExecutor =
    std::function<HttpReply(const std::string& workspace, const HttpRequest&)>;

struct ReceiptOptions {
  Millis m_keep{24 * 3'600'000};
  int64_t m_max_entries = 200'000;
  int64_t m_max_reply_bytes = 4 << 20;
};

// Thread-safe.
class ReceiptShard {
 public:
  ReceiptShard(ReceiptOptions options,
               LedgerService& ledgers,
               std::string ledger_id,
               std::unique_ptr<LedgerWriter> writer);

  // Reads what earlier owners left. Call once, before Run().
  Status Load();

  // Returns the reply for the caller, refusals for good included. Fails with an
  // error when the caller should look for the owner again; the error says
  // whether the request may have run.
  Result<HttpReply> Run(const KeyedRequest& request,
                        Millis deadline,
                        const ReceiptExecutor& executor);

  // True after a failed append: the ledger must be taken over again.
  bool IsBroken() const;
  // Refuses further requests and waits for those that run, until `deadline`.
  void Close(Millis deadline);

  // Whether most of the ledger's records are of no more use.
  bool NeedsCompaction();
  // Copies the live receipts into the new ledger `id`, lets `commit` record it
  // and goes on there. Requests wait meanwhile. After a failed `commit` whose
  // outcome is open the shard is broken.
  Status Compact(const std::string& id, const std::function<Status()>& commit);

  std::string LedgerId() const;

 private:
  Result<HttpReply> RunNew(const KeyedRequest& request,
                           ReceiptRecord record,
                           bool with_intent,
                           const ReceiptExecutor& executor);
  Result<HttpReply> Settle(const KeyedRequest& request,
                           ReceiptRecord record,
                           HttpReply reply);
  Result<HttpReply> ReadReply(uint64_t sequence);
  Result<uint64_t> Append(const ReceiptRecord& record)
      ABSL_SHARED_LOCKS_REQUIRED(m_ledger_mutex);
  void End(const std::string& id);
  Result<std::vector<std::string>> LiveRecords(
      std::vector<std::string>& results)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_ledger_mutex);

  const ReceiptOptions m_options;
  LedgerService& m_ledgers;
  // Held shared by appends and alone by a compaction.
  mutable absl::Mutex m_ledger_mutex;
  std::string m_ledger_id ABSL_GUARDED_BY(m_ledger_mutex);
  std::unique_ptr<LedgerWriter> m_writer ABSL_GUARDED_BY(m_ledger_mutex);

  mutable absl::Mutex m_mutex;
  ReceiptIndex m_index ABSL_GUARDED_BY(m_mutex);
  uint64_t m_records ABSL_GUARDED_BY(m_mutex) = 0;
  int m_running ABSL_GUARDED_BY(m_mutex) = 0;
  bool m_broken ABSL_GUARDED_BY(m_mutex) = false;
  bool m_closed ABSL_GUARDED_BY(m_mutex) = false;
};

// Reads the whole of a streamed reply into its body. A reply that breaks off
// becomes a refusal with run state "unknown".
HttpReply CollectReply(HttpReply reply);

}  // namespace bronzecross

#endif  // BRONZECROSS_RECEIPTS_RECEIPT_SHARD_H_
