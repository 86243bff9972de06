#include "batch/output_record.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace bronzecross {

std::string EncodeOutput(const OutputRecord& record) {
  return absl::StrCat(std::string(1, static_cast<char>(record.m_kind)),
                      record.m_index, "\n", record.m_line);
}

Result<OutputRecord> DecodeOutput(std::string_view payload) {
  OutputRecord record;
  const size_t end = payload.find('\n');
  if (end == std::string_view::npos || end < 2 ||
      std::string_view("rfti").find(payload[0]) == std::string_view::npos ||
      !absl::SimpleAtoi(absl::string_view(payload.data() + 1, end - 1),
                        &record.m_index)) {
    return Fail(ResultCode::kCorrupt, "malformed record in an output ledger");
  }
  record.m_kind = static_cast<OutputKind>(payload[0]);
  record.m_line = payload.substr(end + 1);
  return record;
}

}  // namespace bronzecross
