#include "distribution/config_cache.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>

#include <doctest/doctest.h>

namespace bronzecross {

// Guards against a start from a file that was truncated or modified on disk.
TEST_CASE("a truncated or modified cache file is rejected") {
  const std::string path = (std::filesystem::temp_directory_path() /
                            ("bx-cache-" + std::to_string(getpid())))
                               .string();
  CHECK(ReadConfigCache(path).error().m_code == ResultCode::kNotFound);
  const nlohmann::json document = {{"generation", 4}, {"keys", {{"a", 1}}}};
  REQUIRE(WriteConfigCache(path, document).has_value());
  CHECK(*ReadConfigCache(path) == document);
  std::filesystem::resize_file(path, std::filesystem::file_size(path) - 3);
  CHECK(ReadConfigCache(path).error().m_code == ResultCode::kCorrupt);
  REQUIRE(WriteConfigCache(path, document).has_value());
  std::fstream file(path);
  file.seekp(static_cast<std::streamoff>(std::filesystem::file_size(path) / 2));
  file << "9";
  file.close();
  CHECK(ReadConfigCache(path).error().m_code == ResultCode::kCorrupt);
  std::filesystem::remove(path);
}

}  // namespace bronzecross
