// Runs requests with an Idempotency-Key once across all VMs. Sends each request
// to the VM that owns its receipt shard and serves the shards that this VM
// owns.

#ifndef BRONZECROSS_RECEIPTS_RECEIPT_SERVICE_H_
#define BRONZECROSS_RECEIPTS_RECEIPT_SERVICE_H_

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include <absl/synchronization/mutex.h>
#include <nlohmann/json_fwd.hpp>

#include "membership/membership.h"
#include "peers/peer_server.h"
#include "receipts/receipt_shard.h"
#include "receipts/shard_assignment.h"
#include "receipts/shard_record.h"
#include "store/kv_client.h"

namespace bronzecross {

// Thread-safe.
class ReceiptService {
 public:
  // Shard records are stored under `prefix` + "receipts/". Registers the peer
  // method receipt.run with `server`, which must not be started yet.
  ReceiptService(ReceiptOptions options,
                 std::string prefix,
                 KvClient& store,
                 Membership& membership,
                 LedgerService& ledgers,
                 PeerServer& server);
  ~ReceiptService();

  // Call before the first request arrives.
  void SetExecutor(ReceiptExecutor executor) {
    m_executor = std::move(executor);
  }
  void Start();
  // Waits for the requests that run on this VM's shards, with a timeout per
  // shard, and releases the shards.
  void Stop();

  // Runs the request once across all VMs, identified by `workspace` and `key`,
  // and returns its reply, or that of the earlier request with the key. Returns
  // an error reply with run state "not_run" if no owner could be reached and
  // none can have run the request.
  HttpReply Run(std::string_view workspace,
                std::string_view key,
                bool idempotent,
                const HttpRequest& request,
                Millis timeout);

 private:
  struct Slot {
    // Held during a takeover, so that only one thread takes the shard over.
    absl::Mutex m_takeover_mutex;
    std::shared_ptr<ReceiptShard> m_shard ABSL_GUARDED_BY(m_takeover_mutex);
    // Earliest time of the next takeover attempt.
    Millis m_next_takeover ABSL_GUARDED_BY(m_takeover_mutex);
    absl::Mutex m_mutex;
    // Last known owner; empty if it must be looked up.
    std::string m_owner ABSL_GUARDED_BY(m_mutex);
    // Earliest time of the next lookup of the owner in the store.
    Millis m_next_lookup ABSL_GUARDED_BY(m_mutex);
  };

  // `hops` is the number of times that a called VM forwarded the request.
  Result<HttpReply> RunOnVm(const std::string& vm,
                            int shard,
                            const KeyedRequest& request,
                            Millis deadline,
                            int hops);
  Result<HttpReply> RunLocally(int shard,
                               const KeyedRequest& request,
                               Millis deadline);
  // Serves the peer method receipt.run.
  Result<std::string> HandleRun(std::string_view body, Millis deadline);

  // Returns the VM to send requests for `shard` to: the live owner, or the VM
  // that should take the shard over. Empty if there is none.
  std::string FindOwner(int shard);
  void ForgetOwner(int shard);
  bool IsLive(std::string_view vm) const;

  // Returns the shard if this VM owns it, or takes it over if it has no live
  // owner and this VM is the one to take it. Fails with kNotOwner or with an
  // error of the store or the ledger.
  Result<std::shared_ptr<ReceiptShard>> Open(int shard);
  Result<std::shared_ptr<ReceiptShard>> TakeOver(int shard);
  // Records this VM as the owner in the store. Fails with kNotOwner if the
  // shard has a live owner or another VM should take it over.
  Result<ShardRecord> Claim(int shard);
  // Compacts the shards of this VM as needed until Stop().
  void Maintain();
  void CompactShard(int shard, const std::shared_ptr<ReceiptShard>& active);
  // Replaces the ledger in the shard's record. Fails with kConflict if the
  // owner or the ledger has changed.
  Status SaveLedger(int shard,
                    const std::string& old_ledger,
                    const std::string& ledger);
  // Closes the shard and removes this VM as its owner from the store.
  void ReleaseShard(int shard);
  // Returns the store key of the shard's record.
  std::string Key(int shard) const;

  const ReceiptOptions m_options;
  const std::string m_prefix;
  KvClient& m_store;
  Membership& m_membership;
  LedgerService& m_ledgers;
  ReceiptExecutor m_executor;
  std::array<Slot, kReceiptShards> m_slots;
  absl::Mutex m_mutex;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::thread m_thread;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_RECEIPTS_RECEIPT_SERVICE_H_
