// Stores copies of ledger segments in this VM's data folder: one file for each
// segment, and for each ledger a file with the highest epoch seen.

#ifndef BRONZECROSS_LEDGER_COPY_STORE_H_
#define BRONZECROSS_LEDGER_COPY_STORE_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "base/error.h"
#include "ledger/local_segment.h"

namespace bronzecross {

struct CopyAppend {
  std::string_view m_ledger;
  uint64_t m_segment = 0;
  uint64_t m_segment_first = 0;
  uint64_t m_epoch = 0;
  // Sequence number of the first record in m_bytes.
  uint64_t m_first = 0;
  // Whole encoded records. If empty, the segment's file is created, which must
  // happen before any records are appended.
  std::string_view m_bytes;
  // True if LedgerRepair copies a closed segment from another VM. The epoch is
  // not checked then.
  bool m_repair = false;
};

// State of one copy of a segment.
struct CopyState {
  bool m_present = false;
  // True if a record is corrupt, other than by a torn write at the end of the
  // file. The copy may then have lost records that it had acknowledged.
  bool m_damaged = false;
  // Sequence number after the last valid record.
  uint64_t m_next = 0;
};

struct CopyChunk {
  std::string m_bytes;
  // The sequence number after the last record in m_bytes.
  uint64_t m_next = 0;
};

struct LocalCopy {
  std::string m_ledger;
  uint64_t m_segment = 0;
  Millis m_modified_at;  // wall clock
};

// Thread-safe.
class CopyStore {
 public:
  // Loads the list of segments in `folder`. Their records are verified at the
  // first use of a segment or by CheckAll().
  CopyStore(std::string folder, int64_t max_bytes);

  // Writes and syncs the records that are not stored yet. Returns the next
  // sequence number. Fails with kFenced for an epoch below the highest seen,
  // kConflict for records that do not follow the last one, kDiskFull or
  // kCorrupt; no records are stored then.
  Result<uint64_t> Append(const CopyAppend& append);

  // Rejects epochs below `epoch` from now on, also after a restart. Returns the
  // state of `segment`. Fails with kFenced if a higher epoch has been seen.
  Result<CopyState> Fence(std::string_view ledger,
                          uint64_t epoch,
                          uint64_t segment);

  // Returns whole records from `first` on, about `max_bytes` at most, but at
  // least one record unless the end is reached. Fails with kNotFound or
  // kCorrupt.
  Result<CopyChunk> Read(std::string_view ledger,
                         uint64_t segment,
                         uint64_t first,
                         size_t max_bytes);

  CopyState State(std::string_view ledger, uint64_t segment);

  // Removes the records from sequence number `end` on and any damaged bytes.
  Status Truncate(std::string_view ledger, uint64_t segment, uint64_t end);

  // Removes one segment's file, or the ledger with all its segments.
  void DropSegment(std::string_view ledger, uint64_t segment);
  void Drop(std::string_view ledger);

  // Verifies every segment that was not used yet.
  void CheckAll();
  std::vector<LocalCopy> List();
  int64_t UsedBytes() const { return m_used_bytes; }

 private:
  struct Ledger {
    absl::Mutex m_mutex;
    uint64_t m_epoch ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_dropped ABSL_GUARDED_BY(m_mutex) = false;
    std::map<uint64_t, LocalSegment> m_segments ABSL_GUARDED_BY(m_mutex);
  };

  std::string Folder(std::string_view ledger) const;
  std::shared_ptr<Ledger> Find(std::string_view ledger, bool create);
  void Load(const std::string& name);
  Status RaiseEpoch(std::string_view name, Ledger& ledger, uint64_t epoch)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(ledger.m_mutex);
  // Removes the file of an empty segment if `create` is true, as a new one is
  // created in its place. Fails with kConflict if it contains records or
  // `create` is false.
  static Status RemoveEmptySegment(LocalSegment& segment, bool create);
  Result<LocalSegment*> OpenSegment(const CopyAppend& append, Ledger& ledger)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(ledger.m_mutex);

  const std::string m_folder;
  const int64_t m_max_bytes;
  std::atomic<int64_t> m_used_bytes = 0;
  absl::Mutex m_mutex;
  std::map<std::string, std::shared_ptr<Ledger>, std::less<>> m_ledgers
      ABSL_GUARDED_BY(m_mutex);
};

}  // namespace bronzecross

#endif  // BRONZECROSS_LEDGER_COPY_STORE_H_
