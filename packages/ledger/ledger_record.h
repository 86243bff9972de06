// The form of one record in a ledger's file: a header with length, sequence
// number, epoch and checksum, then the payload.

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

inline constexpr size_t kMaxRecordBytes = 8 << 20;

void AppendRecord(std::string& out, const LedgerRecord& record);

// Reads the record at the start of `bytes` and removes it from them. Fails with
// kCorrupt if the record is torn or damaged; `bytes` is unchanged then.
Result<LedgerRecord> TakeRecord(std::string_view& bytes);

// Whether `bytes` is the beginning of a record that ends beyond them, as a
// crash in mid-write leaves it.
bool IsTornRecord(std::string_view bytes);

}  // namespace bronzecross

#endif  // BRONZECROSS_LEDGER_LEDGER_RECORD_H_
