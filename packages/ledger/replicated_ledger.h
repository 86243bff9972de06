// The ledger of one VM: its writers, its readers and the copies it holds for
// others.

#ifndef BRONZECROSS_LEDGER_REPLICATED_LEDGER_H_
#define BRONZECROSS_LEDGER_REPLICATED_LEDGER_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <absl/synchronization/mutex.h>

#include "ledger/call_tracker.h"
#include "ledger/copy_peers.h"
#include "ledger/copy_store.h"
#include "ledger/index_store.h"
#include "ledger/ledger.h"
#include "ledger/ledger_options.h"
#include "ledger/ledger_repair.h"
#include "ledger/replicated_writer.h"
#include "membership/membership.h"
#include "peers/peer_server.h"
#include "store/kv_client.h"

namespace bronzecross {

class ReplicatedLedger : public LedgerService {
 public:
  // Registers its peer methods at `server`, which must not have started.
  ReplicatedLedger(LedgerOptions options,
                   KvClient& store,
                   Membership& membership,
                   PeerServer& server);
  ~ReplicatedLedger() override;

  // Starts checking and restoring copies.
  void Start();
  void Stop();

  Result<std::unique_ptr<LedgerWriter>> Create(std::string_view id) override;
  Result<std::unique_ptr<LedgerWriter>> TakeOver(std::string_view id) override;
  Status Read(std::string_view id,
              uint64_t first,
              const LedgerVisitor& visit) override;
  Status Delete(std::string_view id) override;

  // Bytes in this VM's data folder.
  int64_t UsedBytes() const;

 private:
  LedgerParts Parts();
  std::unique_ptr<LedgerWriter> MakeWriter(std::string_view id,
                                           LedgerIndex index);
  // Raises the epoch in the store.
  Result<LedgerIndex> Claim(std::string_view id);
  // Fences the copies of `segment` and returns one past its last record, once
  // enough copies hold all of them.
  Result<uint64_t> Recover(std::string_view id,
                           uint64_t epoch,
                           const LedgerSegment& segment);
  Status FillCopy(std::string_view id,
                  uint64_t epoch,
                  const LedgerSegment& segment,
                  const std::string& source,
                  const std::string& target,
                  uint64_t next,
                  uint64_t end);
  Result<LedgerIndex> FindIndex(std::string_view id);
  Result<uint64_t> OpenEnd(std::string_view id, const LedgerSegment& segment);
  // Gives records of `segment` from `at` on, and moves `at`, until `end` or
  // until `visit` returns false; `stopped` is set then.
  Status ReadSegment(std::string_view id,
                     const LedgerSegment& segment,
                     uint64_t end,
                     uint64_t& at,
                     const LedgerVisitor& visit,
                     bool& stopped);
  Result<CopyChunk> ReadAny(std::string_view id,
                            const LedgerSegment& segment,
                            uint64_t at);

  const LedgerOptions m_options;
  Membership& m_membership;
  IndexStore m_indexes;
  CopyPeers m_peers;
  // Of calls that recoveries and reads did not wait for.
  const std::shared_ptr<CallTracker> m_calls = std::make_shared<CallTracker>();
  std::unique_ptr<CopyStore> m_copies;
  std::unique_ptr<LedgerRepair> m_repair;
  absl::Mutex m_mutex;
  // The open writers of this VM, so that it reads its own ledgers without the
  // store.
  std::map<std::string, ReplicatedWriter*, std::less<>> m_writers
      ABSL_GUARDED_BY(m_mutex);
  // Records of sealed ledgers, which change only by repair.
  std::map<std::string, LedgerIndex, std::less<>> m_sealed
      ABSL_GUARDED_BY(m_mutex);
};

}  // namespace bronzecross

#endif  // BRONZECROSS_LEDGER_REPLICATED_LEDGER_H_
