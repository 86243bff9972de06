// The store's record of one file.

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
  // The ledger whose records are the file's lines, line ends included.
  std::string m_ledger;
};

// JSON with a random writer token.
std::string SerializeFileRecord(const FileRecord& file);

// Fails with kCorrupt.
Result<FileRecord> ParseFileRecord(std::string_view text);

// The OpenAI file object.
nlohmann::json PublicFile(const FileRecord& file);

bool IsBlankLine(std::string_view line);

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_FILE_RECORD_H_
