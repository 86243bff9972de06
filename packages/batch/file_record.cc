#include "batch/file_record.h"

#include <nlohmann/json.hpp>

#include "base/random.h"

namespace bronzecross {

using nlohmann::json;

std::string SerializeFileRecord(const FileRecord& file) {
  return json{{"id", file.m_id},
              {"workspace", file.m_workspace},
              {"filename", file.m_name},
              {"purpose", file.m_purpose},
              {"created_at", file.m_created_at},
              {"bytes", file.m_bytes},
              {"lines", file.m_lines},
              {"ledger", file.m_ledger},
              {"writer", RandomId()}}
      .dump();
}

Result<FileRecord> ParseFileRecord(std::string_view text) {
  try {
    const json record = json::parse(text);
    FileRecord file;
    record.at("id").get_to(file.m_id);
    record.at("workspace").get_to(file.m_workspace);
    record.at("filename").get_to(file.m_name);
    record.at("purpose").get_to(file.m_purpose);
    record.at("created_at").get_to(file.m_created_at);
    record.at("bytes").get_to(file.m_bytes);
    record.at("lines").get_to(file.m_lines);
    record.at("ledger").get_to(file.m_ledger);
    return file;
  } catch (const json::exception&) {
    return Fail(ResultCode::kCorrupt, "malformed file record");
  }
}

json PublicFile(const FileRecord& file) {
  return {{"id", file.m_id},         {"object", "file"},
          {"bytes", file.m_bytes},   {"created_at", file.m_created_at},
          {"filename", file.m_name}, {"purpose", file.m_purpose},
          {"lines", file.m_lines},   {"status", "processed"}};
}

bool IsBlankLine(std::string_view line) {
  return line.find_first_not_of(" \t\r\n") == std::string_view::npos;
}

}  // namespace bronzecross
