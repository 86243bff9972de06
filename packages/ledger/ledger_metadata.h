// Metadata of a ledger in the store: its epoch, its segments and the VMs that
// have copies of them.

#ifndef BRONZECROSS_LEDGER_LEDGER_METADATA_H_
#define BRONZECROSS_LEDGER_LEDGER_METADATA_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace bronzecross {

// Value of LedgerSegment::m_end while the segment is being written.
inline constexpr int64_t kOpenSegment = -1;

// A contiguous range of records that one writer appended to one set of copies.
struct LedgerSegment {
  uint64_t m_number = 0;
  // Sequence number of the first record.
  uint64_t m_first = 0;
  // Sequence number after the last record, or kOpenSegment. Copies may contain
  // records beyond it, which were never acknowledged.
  int64_t m_end = kOpenSegment;
  uint64_t m_epoch = 0;
  std::vector<std::string> m_copies;
};

// Only the last segment may be open. Segments follow each other without gaps.
struct LedgerMetadata {
  uint64_t m_epoch = 0;
  std::string m_owner;
  bool m_sealed = false;
  std::vector<LedgerSegment> m_segments;
};

// Returns JSON with a random writer token, so that any two writes differ.
std::string SerializeLedgerMetadata(const LedgerMetadata& metadata);

// Fails with kCorrupt if `text` is not valid metadata.
Result<LedgerMetadata> ParseLedgerMetadata(std::string_view text);

// Returns true if `id` is a valid ledger id: 1 to 128 of [A-Za-z0-9_-].
bool IsLedgerId(std::string_view id);

}  // namespace bronzecross

#endif  // BRONZECROSS_LEDGER_LEDGER_METADATA_H_
