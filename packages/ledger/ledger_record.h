// Encoding of a ledger record: a header with length, sequence number, epoch and
// checksum, followed by the payload.

#ifndef BRONZECROSS_LEDGER_LEDGER_RECORD_H_
#define BRONZECROSS_LEDGER_LEDGER_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/error.h"

namespace bronzecross {

struct LedgerRecord {
  // Counts from 0 without gaps within a ledger.
  uint64_t m_sequence = 0;
  // The epoch of the writer that appended it.
  uint64_t m_epoch = 0;
  std::string m_payload;
};

// Maximum payload size.
inline constexpr size_t kMaxRecordBytes = 8 << 20;

// Encodes `record` at the end of `out`.
void AppendRecord(std::string& out, const LedgerRecord& record);

// Decodes the record at the start of `bytes` and removes it from `bytes`. Fails
// with kCorrupt if the record is torn or damaged; `bytes` is unchanged then.
Result<LedgerRecord> ConsumeRecord(std::string_view& bytes);

// Returns true if `bytes` is an incomplete record, as left by a crash during a
// write, rather than a damaged one.
bool IsTornRecord(std::string_view bytes);

}  // namespace bronzecross

#endif  // BRONZECROSS_LEDGER_LEDGER_RECORD_H_
