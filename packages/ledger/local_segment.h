// One segment's file: records one after the other, checked at the first use.

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

  // Makes an empty file and syncs it and its folder. Fails with kDiskFull or
  // kInternal.
  static Status Create(const std::string& path);

  // Reads the whole file once and checks each record. A record that ends
  // beyond the file's end is a write torn by a crash, was never acknowledged
  // and is cut off; any other fault is damage.
  Status Check();

  bool IsDamaged() const { return m_damaged; }
  uint64_t First() const { return m_first; }
  uint64_t Next() const { return m_first + m_count; }
  int64_t ValidBytes() const { return m_bytes; }
  const std::string& Path() const { return m_path; }

  // Appends whole records whose sequence numbers follow Next() and syncs them.
  // On failure the file is cut back. Fails with kDiskFull, kCorrupt or
  // kInternal.
  Status Append(std::string_view records);

  // Appends records from `first` on to `out`, at least one unless the end is
  // reached. Returns the next sequence number.
  Result<uint64_t> Read(uint64_t first,
                        size_t max_bytes,
                        std::string& out) const;

  // Removes everything from sequence number `end` on, damaged bytes included.
  Status CutBack(uint64_t end);

 private:
  struct Mark {
    uint64_t m_sequence = 0;
    int64_t m_offset = 0;
  };

  void AddMark(uint64_t sequence, int64_t offset);
  // The last mark at or before `sequence`, which must be below Next().
  const Mark& FindMark(uint64_t sequence) const;
  Status Cut(int64_t bytes);

  std::string m_path;
  uint64_t m_first = 0;
  // Number of valid records, and the bytes they take.
  uint64_t m_count = 0;
  int64_t m_bytes = 0;
  // The places of some records, in order.
  std::vector<Mark> m_marks;
  bool m_checked = false;
  bool m_damaged = false;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_LEDGER_LOCAL_SEGMENT_H_
