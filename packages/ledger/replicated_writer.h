// Writes one ledger: one thread for each copy sends what that copy lacks, so
// that concurrent appends share a message and a sync, and a slow copy does not
// hold the others back.

#ifndef BRONZECROSS_LEDGER_REPLICATED_WRITER_H_
#define BRONZECROSS_LEDGER_REPLICATED_WRITER_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "ledger/copy_peers.h"
#include "ledger/index_store.h"
#include "ledger/ledger.h"
#include "ledger/ledger_options.h"

namespace bronzecross {

// What the parts of the ledger on this VM share.
struct LedgerParts {
  const LedgerOptions& m_options;
  Membership& m_membership;
  IndexStore& m_indexes;
  CopyPeers& m_peers;
};

class ReplicatedWriter : public LedgerWriter {
 public:
  // `index` ends with an open segment of this writer whose copies exist and
  // are empty.
  ReplicatedWriter(LedgerParts parts,
                   std::string id,
                   LedgerIndex index,
                   std::function<void()> on_destroy);
  ~ReplicatedWriter() override;

  Result<uint64_t> Append(std::span<const std::string> payloads) override;
  Status Seal() override;
  uint64_t Epoch() const override { return m_epoch; }
  uint64_t NextSequence() const override;

  // The record as this writer last saved it, with the acknowledged end as the
  // end of the open segment.
  LedgerIndex Snapshot() const;

 private:
  struct Chunk {
    uint64_t m_first = 0;
    uint64_t m_end = 0;
    std::string m_bytes;
  };
  struct Copy {
    std::string m_vm;
    // One past the last record on its disk.
    uint64_t m_held = 0;
    std::optional<Error> m_failure;
  };
  struct Batch {
    std::string m_vm;
    uint64_t m_round = 0;
    uint64_t m_segment = 0;
    uint64_t m_segment_first = 0;
    uint64_t m_first = 0;
    std::string m_bytes;
  };

  void RunCopy(size_t slot);
  bool HasWork(size_t slot) const ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
  Batch TakeBatch(size_t slot) const ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
  void FinishBatch(size_t slot,
                   const Batch& batch,
                   const Result<uint64_t>& held);
  void Advance() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void Break(Error error) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  Error Hindrance() const ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
  std::vector<std::string> CopyIds() const ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
  // Whether other copies than the present ones should be tried now.
  bool IsRollDue() const ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
  void Roll();
  void FinishRoll(Result<LedgerIndex> index);
  // Saves `change` of the record. Once a write may have taken effect it does
  // not give up before the outcome is known or the writer stops, as appends
  // must not go on under a record that no longer holds.
  Result<LedgerIndex> SaveIndex(
      const std::function<void(LedgerIndex&)>& change);

  const LedgerParts m_parts;
  const std::string m_id;
  const std::string m_own;
  const uint64_t m_epoch;
  const std::function<void()> m_on_destroy;

  mutable absl::Mutex m_mutex;
  LedgerIndex m_index ABSL_GUARDED_BY(m_mutex);
  std::vector<Copy> m_copies ABSL_GUARDED_BY(m_mutex);
  // Rises with each change of copies; answers of earlier rounds are dropped.
  uint64_t m_round ABSL_GUARDED_BY(m_mutex) = 0;
  uint64_t m_next ABSL_GUARDED_BY(m_mutex) = 0;
  // Everything below is acknowledged. Does not move while m_rolling, as the
  // segment is being closed at it.
  uint64_t m_acknowledged ABSL_GUARDED_BY(m_mutex) = 0;
  bool m_rolling ABSL_GUARDED_BY(m_mutex) = false;
  Millis m_next_roll ABSL_GUARDED_BY(m_mutex);
  // VMs that failed, with the time until which they are left out.
  std::map<std::string, Millis> m_avoid ABSL_GUARDED_BY(m_mutex);
  std::deque<Chunk> m_chunks ABSL_GUARDED_BY(m_mutex);
  size_t m_buffered ABSL_GUARDED_BY(m_mutex) = 0;
  std::optional<Error> m_broken ABSL_GUARDED_BY(m_mutex);
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::vector<std::thread> m_threads;
};

// Makes the next segment's empty files on suitable VMs and returns the segment.
// `exclude` receives the VMs that failed. Fails with kTooFewCopies, kDiskFull
// or kFenced.
Result<LedgerSegment> PrepareSegment(const LedgerParts& parts,
                                     std::string_view id,
                                     uint64_t epoch,
                                     uint64_t number,
                                     uint64_t first,
                                     std::vector<std::string>& exclude);

}  // namespace bronzecross

#endif  // BRONZECROSS_LEDGER_REPLICATED_WRITER_H_
