// File of one segment: a sequence of records, verified at the first use.

#ifndef BRONZECROSS_LEDGER_LOCAL_SEGMENT_H_
#define BRONZECROSS_LEDGER_LOCAL_SEGMENT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace bronzecross {

// Not thread-safe.
class LocalSegment {
 public:
  LocalSegment(std::string path, uint64_t first);

  // Creates an empty file and syncs it and its folder. Fails with kDiskFull or
  // kInternal.
  static Status Create(const std::string& path);

  // Reads the whole file at the first call and verifies each record. A record
  // that extends beyond the end of the file is a write torn by a crash, was
  // never acknowledged and is truncated; any other invalid record is damage.
  Status Check();

  bool IsDamaged() const { return m_damaged; }
  uint64_t First() const { return m_first; }
  uint64_t Next() const { return m_first + m_count; }
  int64_t ValidBytes() const { return m_bytes; }
  const std::string& Path() const { return m_path; }

  // Appends whole records whose sequence numbers follow Next() and syncs them.
  // On failure the file is truncated to its old length. Fails with kDiskFull,
  // kCorrupt or kInternal.
  Status Append(std::string_view records);

  // Appends records from `first` on to `out`, at least one unless the end is
  // reached. Returns the next sequence number.
  Result<uint64_t> Read(uint64_t first,
                        size_t max_bytes,
                        std::string& out) const;

  // Removes all records from sequence number `end` on, and any damaged bytes.
  Status Truncate(uint64_t end);

 private:
  struct IndexEntry {
    uint64_t m_sequence = 0;
    int64_t m_offset = 0;
  };

  void AddIndexEntry(uint64_t sequence, int64_t offset);
  // Returns the last entry at or before `sequence`, which must be below Next().
  const IndexEntry& FindIndexEntry(uint64_t sequence) const;
  Status TruncateFile(int64_t bytes);

  std::string m_path;
  uint64_t m_first = 0;
  // Number of valid records, and their size.
  uint64_t m_count = 0;
  int64_t m_bytes = 0;
  // File offsets of some records, in order of the sequence number.
  std::vector<IndexEntry> m_sparse_index;
  bool m_checked = false;
  bool m_damaged = false;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_LEDGER_LOCAL_SEGMENT_H_
