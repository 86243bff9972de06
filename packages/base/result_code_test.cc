#include "base/result_code.h"

#include <fstream>
#include <sstream>
#include <string>

#include <doctest/doctest.h>

namespace bronzecross {

TEST_CASE("every result code is listed in docs/RESULT_CODES.md") {
  std::ifstream file(BRONZECROSS_SOURCE_DIR "/docs/RESULT_CODES.md");
  std::stringstream text;
  text << file.rdbuf();
  const std::string table = text.str();
  for (const ResultCodeInfo& info : AllResultCodes()) {
    const std::string row = "| " +
                            std::to_string(static_cast<int>(info.m_code)) +
                            " | `" + std::string(info.m_name) + "` | " +
                            std::to_string(info.m_http_status) + " |";
    CAPTURE(row);
    CHECK(table.find(row) != std::string::npos);
  }
}

}  // namespace bronzecross
