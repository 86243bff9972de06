// Requests with an Idempotency-Key: directs each to the VM that owns its
// receipt shard, and owns shards itself.

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
#include "receipts/shard_record.h"
#include "receipts/shard_rules.h"
#include "store/kv_client.h"

namespace bronzecross {

// Thread-safe.
class ReceiptService {
 public:
  // Shard records lie under `prefix` + "receipts/". Registers the peer method
  // receipt.run at `server`, which must not have started.
  ReceiptService(ReceiptOptions options,
                 std::string prefix,
                 KvClient& store,
                 Membership& membership,
                 LedgerService& ledgers,
                 PeerServer& server);
  ~ReceiptService();

  // Call before requests arrive.
  void SetExecutor(ReceiptExecutor executor) {
    m_executor = std::move(executor);
  }
  void Start();
  // Waits for the requests that run on this VM's shards and frees these.
  void Stop();

  // Runs the request of `workspace` under `key` once over all VMs and returns
  // the reply, or that of the earlier request with the key. The reply is a
  // refusal with run state "not_run" if no owner could be reached and none can
  // have run it.
  HttpReply Run(std::string_view workspace,
                std::string_view key,
                bool idempotent,
                const HttpRequest& request,
                Millis timeout);

 private:
  struct Slot {
    // Held while the shard is taken over, so that one thread does it.
    absl::Mutex m_take_mutex;
    std::shared_ptr<ReceiptShard> m_shard ABSL_GUARDED_BY(m_take_mutex);
    // No takeover is tried, and the owner is not looked up, before these.
    Millis m_next_take ABSL_GUARDED_BY(m_take_mutex);
    absl::Mutex m_mutex;
    // The last known owner; empty: look it up.
    std::string m_owner ABSL_GUARDED_BY(m_mutex);
    Millis m_next_lookup ABSL_GUARDED_BY(m_mutex);
  };

  Result<HttpReply> RunAt(const std::string& vm,
                          int shard,
                          const KeyedRequest& request,
                          Millis deadline,
                          int hops);
  Result<HttpReply> RunHere(int shard,
                            const KeyedRequest& request,
                            Millis deadline);
  Result<std::string> AnswerRun(std::string_view body, Millis deadline);

  // The VM to ask for `shard`.
  std::string FindOwner(int shard);
  void ForgetOwner(int shard);
  bool IsLive(std::string_view vm) const;

  // Returns this VM's shard, taken over first if it is free or its owner is
  // dead. Fails with kNotOwner, or as the store and the ledger do.
  Result<std::shared_ptr<ReceiptShard>> Open(int shard);
  Result<std::shared_ptr<ReceiptShard>> TakeOver(int shard);
  // Makes this VM the owner in the store.
  Result<ShardRecord> Claim(int shard);
  void Maintain();
  void CompactShard(int shard, const std::shared_ptr<ReceiptShard>& active);
  Status SaveLedger(int shard,
                    const std::string& old_ledger,
                    const std::string& ledger);
  void FreeShard(int shard);
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
