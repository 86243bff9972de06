// The record of one file in the store.

#ifndef BRONZECROSS_BATCH_FILE_RECORD_H_
#define BRONZECROSS_BATCH_FILE_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "base/error.h"

namespace bronzecross {

struct FileRecord {
  std::string m_id;
  std::string m_workspace;
  std::string m_name;
  std::string m_purpose;
  // Seconds since the Unix epoch.
  int64_t m_created_at = 0;
  int64_t m_bytes = 0;
  // Lines that are not blank.
  int64_t m_lines = 0;
  // The ledger whose records are the lines of the file, including line ends.
  std::string m_ledger;
};

// Returns JSON with a random writer token, by which a write whose reply was
// lost is recognised when it is read back.
std::string SerializeFileRecord(const FileRecord& file);

// Fails with kCorrupt on malformed JSON, a missing field or a wrong type.
Result<FileRecord> ParseFileRecord(std::string_view text);

// Returns the OpenAI file object.
nlohmann::json PublicFile(const FileRecord& file);

bool IsBlankLine(std::string_view line);

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_FILE_RECORD_H_
