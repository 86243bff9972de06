// The records of a job's output ledger.

#ifndef BRONZECROSS_BATCH_OUTPUT_RECORD_H_
#define BRONZECROSS_BATCH_OUTPUT_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/error.h"

namespace bronzecross {

enum class OutputKind : char {
  kResult = 'r',   // the item succeeded; m_line is its output line
  kFailure = 'f',  // the item failed; m_line is its line in the error file
  kAttempt = 't',  // one attempt failed; the item runs again
  kIntent = 'i',   // a non-idempotent item is about to be sent
};

struct OutputRecord {
  OutputKind m_kind = OutputKind::kResult;
  // The position of the item in the input, from 0.
  uint64_t m_index = 0;
  std::string m_line;
};

std::string EncodeOutput(const OutputRecord& record);

// Fails with kCorrupt on a malformed payload.
Result<OutputRecord> DecodeOutput(std::string_view payload);

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_OUTPUT_RECORD_H_
