#include "distribution/config_cache.h"

#include <fcntl.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <sstream>

#include "distribution/config_document.h"

namespace bronzecross {

using nlohmann::json;

Status WriteConfigCache(const std::string& path, const json& document) {
  const std::string text =
      json{{"hash", DocumentHash(document)}, {"document", document}}.dump();
  const std::string temp_path = path + ".new";
  const int fd =
      open(temp_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (fd < 0) {
    return Fail(ResultCode::kDiskFull, "cannot open " + temp_path);
  }
  const bool written = write(fd, text.data(), text.size()) ==
                           static_cast<ssize_t>(text.size()) &&
                       fsync(fd) == 0;
  close(fd);
  if (!written || std::rename(temp_path.c_str(), path.c_str()) != 0) {
    return Fail(ResultCode::kDiskFull, "cannot write " + path);
  }
  return {};
}

Result<json> ReadConfigCache(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return Fail(ResultCode::kNotFound, path + " does not exist");
  }
  std::stringstream text;
  text << file.rdbuf();
  json cached = json::parse(text.str(), nullptr, false);
  if (!cached.is_object() || !cached.contains("document") ||
      !cached.contains("hash") ||
      cached["hash"] != DocumentHash(cached["document"])) {
    return Fail(ResultCode::kCorrupt, path + " is damaged");
  }
  return std::move(cached["document"]);
}

}  // namespace bronzecross
