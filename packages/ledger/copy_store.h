// The copies of ledger segments in this VM's data folder: one file for each
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
  // Whole encoded records; none makes the segment's file, which must be there
  // before any record is sent.
  std::string_view m_bytes;
  // Set when a closed segment is copied from another VM: the epoch is not
  // checked then.
  bool m_repair = false;
};

// What a copy holds of a segment.
struct CopyState {
  bool m_present = false;
  // A record that was whole once fails its check; the copy does not vouch for
  // its length.
  bool m_damaged = false;
  // One past the last valid record.
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
  Millis m_changed;  // wall clock
};

// Thread-safe.
class CopyStore {
 public:
  // Lists what lies in `folder`; segments are checked at their first use or by
  // CheckAll().
  CopyStore(std::string folder, int64_t max_bytes);

  // Writes the records that are not there yet and syncs them. Returns the next
  // sequence number. Fails with kFenced for an epoch below the highest seen,
  // kConflict for records that do not follow the last one, kDiskFull or
  // kCorrupt; nothing is changed then.
  Result<uint64_t> Append(const CopyAppend& append);

  // Refuses epochs below `epoch` from now on, also after a restart.
  Result<CopyState> Fence(std::string_view ledger,
                          uint64_t epoch,
                          uint64_t segment);

  // Whole records from `first` on, at least one unless the end is reached, at
  // most about `max_bytes`. Fails with kNotFound or kCorrupt.
  Result<CopyChunk> Read(std::string_view ledger,
                         uint64_t segment,
                         uint64_t first,
                         size_t max_bytes);

  CopyState State(std::string_view ledger, uint64_t segment);

  // Removes records from `end` on and everything after damage.
  Status CutBack(std::string_view ledger, uint64_t segment, uint64_t end);

  // Removes one segment's file, or the ledger with all of them.
  void DropSegment(std::string_view ledger, uint64_t segment);
  void Drop(std::string_view ledger);

  // Checks every segment that was not used yet.
  void CheckAll();
  std::vector<LocalCopy> List();
  int64_t UsedBytes() const { return m_used; }

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
  // Removes the file of an empty segment if `create` says that another one is
  // to be made. Fails with kConflict if it holds records.
  static Status RemoveUnused(LocalSegment& segment, bool create);
  Result<LocalSegment*> Open(const CopyAppend& append, Ledger& ledger)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(ledger.m_mutex);

  const std::string m_folder;
  const int64_t m_max_bytes;
  std::atomic<int64_t> m_used = 0;
  absl::Mutex m_mutex;
  std::map<std::string, std::shared_ptr<Ledger>, std::less<>> m_ledgers
      ABSL_GUARDED_BY(m_mutex);
};

}  // namespace bronzecross

#endif  // BRONZECROSS_LEDGER_COPY_STORE_H_
