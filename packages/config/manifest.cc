#include "config/manifest.h"

#include <fstream>
#include <sstream>

namespace bronzecross {

Result<Manifest> LoadManifest(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return Fail(ResultCode::kInvalidManifest, path + ": cannot be read");
  }
  std::stringstream text;
  text << file.rdbuf();
  return ParseManifestToml(text.str(), path);
}

}  // namespace bronzecross
