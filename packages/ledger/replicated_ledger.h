// Ledger service of one VM: creates writers, reads ledgers, and stores and
// repairs copies for all VMs.

#ifndef BRONZECROSS_LEDGER_REPLICATED_LEDGER_H_
#define BRONZECROSS_LEDGER_REPLICATED_LEDGER_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <absl/synchronization/mutex.h>

#include "ledger/call_tracker.h"
#include "ledger/copy_client.h"
#include "ledger/copy_store.h"
#include "ledger/ledger.h"
#include "ledger/ledger_options.h"
#include "ledger/ledger_repair.h"
#include "ledger/metadata_store.h"
#include "ledger/replicated_writer.h"
#include "membership/membership.h"
#include "peers/peer_server.h"
#include "store/kv_client.h"

namespace bronzecross {

class ReplicatedLedger : public LedgerService {
 public:
  // Registers the peer methods at `server`, which must not be started yet.
  ReplicatedLedger(LedgerOptions options,
                   KvClient& store,
                   Membership& membership,
                   PeerServer& server);
  ~ReplicatedLedger() override;

  // Starts verifying and repairing copies.
  void Start();
  void Stop();

  Result<std::unique_ptr<LedgerWriter>> Create(std::string_view id) override;
  Result<std::unique_ptr<LedgerWriter>> TakeOver(std::string_view id) override;
  Status Read(std::string_view id,
              uint64_t first,
              const LedgerVisitor& visit) override;
  Status Delete(std::string_view id) override;

  // Returns the size of the copies in this VM's data folder.
  int64_t UsedBytes() const;

 private:
  LedgerDependencies Dependencies();
  std::unique_ptr<LedgerWriter> MakeWriter(std::string_view id,
                                           LedgerMetadata metadata);
  // Raises the epoch in the store and makes this VM the owner.
  Result<LedgerMetadata> ClaimEpoch(std::string_view id);
  // Fences the copies of `segment` and brings a quorum of them to the same end.
  // Returns the sequence number after the last record.
  Result<uint64_t> Recover(std::string_view id,
                           uint64_t epoch,
                           const LedgerSegment& segment);
  // Copies the records from `next` to `end` from VM `source` to VM `target`.
  Status CatchUpCopy(std::string_view id,
                     uint64_t epoch,
                     const LedgerSegment& segment,
                     const std::string& source,
                     const std::string& target,
                     uint64_t next,
                     uint64_t end);
  Result<LedgerMetadata> FindMetadata(std::string_view id);
  // Returns the sequence number up to which the open `segment` can be read.
  Result<uint64_t> FindOpenSegmentEnd(std::string_view id,
                                      const LedgerSegment& segment);
  // Calls `visit` for the records of `segment` from `sequence` up to `end`, and
  // advances `sequence`. Sets `stopped` if `visit` returned false.
  Status ReadSegment(std::string_view id,
                     const LedgerSegment& segment,
                     uint64_t end,
                     uint64_t& sequence,
                     const LedgerVisitor& visit,
                     bool& stopped);
  Result<CopyChunk> ReadFromAnyCopy(std::string_view id,
                                    const LedgerSegment& segment,
                                    uint64_t sequence);

  const LedgerOptions m_options;
  Membership& m_membership;
  MetadataStore m_metadata_store;
  CopyClient m_copy_client;
  // Counts the calls that recoveries and reads no longer wait for.
  const std::shared_ptr<CallTracker> m_pending_calls =
      std::make_shared<CallTracker>();
  std::unique_ptr<CopyStore> m_copies;
  std::unique_ptr<LedgerRepair> m_repair;
  absl::Mutex m_mutex;
  // Open writers of this VM. They allow reading its own ledgers during a store
  // outage.
  std::map<std::string, ReplicatedWriter*, std::less<>> m_writers
      ABSL_GUARDED_BY(m_mutex);
  // Cached metadata of sealed ledgers, which only LedgerRepair changes.
  std::map<std::string, LedgerMetadata, std::less<>> m_sealed
      ABSL_GUARDED_BY(m_mutex);
};

}  // namespace bronzecross

#endif  // BRONZECROSS_LEDGER_REPLICATED_LEDGER_H_
