// The store's record of a ledger: its epoch and where the copies of its
// segments lie.

#ifndef BRONZECROSS_LEDGER_LEDGER_INDEX_H_
#define BRONZECROSS_LEDGER_LEDGER_INDEX_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace bronzecross {

inline constexpr int64_t kOpenSegment = -1;

// A run of records that one writer appended to one set of copies.
struct LedgerSegment {
  uint64_t m_number = 0;
  // The sequence number of its first record.
  uint64_t m_first = 0;
  // One past its last record, or kOpenSegment. Copies may hold records beyond
  // it, which were never acknowledged.
  int64_t m_end = kOpenSegment;
  uint64_t m_epoch = 0;
  std::vector<std::string> m_copies;
};

// Only the last segment may be open. Segments follow each other without gaps.
struct LedgerIndex {
  uint64_t m_epoch = 0;
  std::string m_owner;
  bool m_sealed = false;
  std::vector<LedgerSegment> m_segments;
};

// JSON with a random writer token, so that no two writes are alike.
std::string SerializeLedgerIndex(const LedgerIndex& index);

// Fails with kCorrupt.
Result<LedgerIndex> ParseLedgerIndex(std::string_view text);

// Whether `id` can name a ledger: 1 to 128 of [A-Za-z0-9_-].
bool IsLedgerId(std::string_view id);

}  // namespace bronzecross

#endif  // BRONZECROSS_LEDGER_LEDGER_INDEX_H_
