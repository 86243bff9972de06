// An immutable manifest with the indexes used to serve requests.

#ifndef BRONZECROSS_CONFIG_CONFIG_SNAPSHOT_H_
#define BRONZECROSS_CONFIG_CONFIG_SNAPSHOT_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "config/manifest.h"

namespace bronzecross {

class ConfigSnapshot {
 public:
  explicit ConfigSnapshot(Manifest manifest);
  ConfigSnapshot(const ConfigSnapshot&) = delete;
  ConfigSnapshot& operator=(const ConfigSnapshot&) = delete;

  const Manifest& GetManifest() const { return m_manifest; }
  int64_t Generation() const { return m_manifest.m_generation; }

  // Returns the key with this SHA-256, also if it is withdrawn; null if
  // unknown.
  const KeySpec* FindKey(std::string_view sha256) const;
  const WorkspaceSpec* FindWorkspace(std::string_view name) const;
  const ModelSpec* FindModel(std::string_view name) const;
  const UpstreamSpec* FindUpstream(std::string_view name) const;
  // Returns the route with the longest path that is a prefix of `path`; null if
  // there is none.
  const RouteSpec* FindRoute(std::string_view path) const;

 private:
  template <typename T>
  using Index = std::map<std::string_view, const T*, std::less<>>;

  const Manifest m_manifest;
  // The indexes point into m_manifest.
  Index<KeySpec> m_keys;
  Index<WorkspaceSpec> m_workspaces;
  Index<ModelSpec> m_models;
  Index<UpstreamSpec> m_upstreams;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_CONFIG_CONFIG_SNAPSHOT_H_
