// Writer of one ledger. One thread per copy sends the records that the copy
// does not have yet, so that concurrent appends share a message and a sync, and
// a slow copy does not delay the others.

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

#include "ledger/copy_client.h"
#include "ledger/ledger.h"
#include "ledger/ledger_options.h"
#include "ledger/metadata_store.h"

namespace bronzecross {

// Objects that writers, readers and the repair on this VM share.
struct LedgerDependencies {
  const LedgerOptions& m_options;
  Membership& m_membership;
  MetadataStore& m_metadata_store;
  CopyClient& m_copy_client;
};

class ReplicatedWriter : public LedgerWriter {
 public:
  // The last segment of `metadata` must be open, belong to this writer and have
  // copies that exist and are empty.
  ReplicatedWriter(LedgerDependencies dependencies,
                   std::string id,
                   LedgerMetadata metadata,
                   std::function<void()> on_destroy);
  ~ReplicatedWriter() override;

  Result<uint64_t> Append(std::span<const std::string> payloads) override;
  Status Seal() override;
  uint64_t Epoch() const override { return m_epoch; }
  uint64_t NextSequence() const override;

  // Returns the metadata that this writer saved last, with the acknowledged end
  // as the end of the open segment.
  LedgerMetadata Snapshot() const;

 private:
  struct Chunk {
    uint64_t m_first = 0;
    uint64_t m_end = 0;
    std::string m_bytes;
  };
  struct Copy {
    std::string m_vm;
    // Sequence number after the last record on its disk.
    uint64_t m_durable_end = 0;
    std::optional<Error> m_failure;
  };
  struct Batch {
    std::string m_vm;
    uint64_t m_placement_version = 0;
    uint64_t m_segment = 0;
    uint64_t m_segment_first = 0;
    uint64_t m_first = 0;
    std::string m_bytes;
  };

  void ReplicateToCopy(size_t slot);
  bool HasPendingRecords(size_t slot) const ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
  Batch NextBatch(size_t slot) const ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
  void FinishBatch(size_t slot,
                   const Batch& batch,
                   const Result<uint64_t>& durable_end);
  void AdvanceAcknowledged() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void StopWriting(Error error) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  // Returns the error that prevents acknowledgements: a full disk if any.
  Error FailureCause() const ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
  std::vector<std::string> CopyIds() const ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
  // Returns true if a copy failed or is missing and the writer should now try
  // to roll to a segment on other VMs.
  bool IsRollDue() const ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
  void Roll();
  void FinishRoll(Result<LedgerMetadata> metadata);
  // Applies `change` to the metadata in the store. Once a write may have taken
  // effect, retries until the outcome is known or the writer stops, as appends
  // must not continue under metadata that may be outdated.
  Result<LedgerMetadata> SaveMetadata(
      const std::function<void(LedgerMetadata&)>& change);

  const LedgerDependencies m_dependencies;
  const std::string m_id;
  const std::string m_own_id;
  const uint64_t m_epoch;
  const std::function<void()> m_on_destroy;

  mutable absl::Mutex m_mutex;
  LedgerMetadata m_metadata ABSL_GUARDED_BY(m_mutex);
  std::vector<Copy> m_copies ABSL_GUARDED_BY(m_mutex);
  // Incremented at each change of copies; replies to batches of an earlier
  // version are ignored.
  uint64_t m_placement_version ABSL_GUARDED_BY(m_mutex) = 0;
  uint64_t m_next ABSL_GUARDED_BY(m_mutex) = 0;
  // All records below are acknowledged. Does not change while m_rolling is set,
  // as the segment is being closed at this sequence number.
  uint64_t m_acknowledged ABSL_GUARDED_BY(m_mutex) = 0;
  bool m_rolling ABSL_GUARDED_BY(m_mutex) = false;
  Millis m_next_roll ABSL_GUARDED_BY(m_mutex);
  // VMs that failed, with the time until which they are excluded.
  std::map<std::string, Millis> m_excluded_until ABSL_GUARDED_BY(m_mutex);
  std::deque<Chunk> m_chunks ABSL_GUARDED_BY(m_mutex);
  size_t m_buffered_bytes ABSL_GUARDED_BY(m_mutex) = 0;
  // Set once the writer accepts no more appends.
  std::optional<Error> m_stop_error ABSL_GUARDED_BY(m_mutex);
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::vector<std::thread> m_threads;
};

// Creates the empty files of a new segment on suitable VMs and returns the
// segment. Adds VMs that failed to `exclude`. Fails with kTooFewCopies,
// kDiskFull or kFenced.
Result<LedgerSegment> PrepareSegment(const LedgerDependencies& dependencies,
                                     std::string_view id,
                                     uint64_t epoch,
                                     uint64_t number,
                                     uint64_t first,
                                     std::vector<std::string>& exclude);

}  // namespace bronzecross

#endif  // BRONZECROSS_LEDGER_REPLICATED_WRITER_H_
