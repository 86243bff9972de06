#include "config/manifest.h"

#include <algorithm>
#include <fstream>
#include <map>
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

void AssignNextGeneration(const Manifest& current, Manifest& next) {
  std::map<std::string_view, std::string_view> halves;
  for (const UpstreamSpec& spec : current.m_upstreams) {
    halves[spec.m_name] = spec.m_half;
  }
  // A new upstream has no previous half that would have to release it.
  const bool moved = std::any_of(
      next.m_upstreams.begin(), next.m_upstreams.end(),
      [&](const UpstreamSpec& spec) {
        const auto before = halves.find(spec.m_name);
        return before != halves.end() && before->second != spec.m_half;
      });
  next.m_generation = current.m_generation + 1;
  next.m_halves_generation =
      moved ? next.m_generation : current.m_halves_generation;
}

}  // namespace bronzecross
