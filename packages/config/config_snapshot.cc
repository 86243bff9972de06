#include "config/config_snapshot.h"

namespace bronzecross {
namespace {

template <typename T>
const T* Find(const std::map<std::string_view, const T*, std::less<>>& index,
              std::string_view name) {
  const auto found = index.find(name);
  return found == index.end() ? nullptr : found->second;
}

bool IsPathPrefix(std::string_view prefix, std::string_view path) {
  return path.starts_with(prefix) &&
         (path.size() == prefix.size() || prefix.ends_with('/') ||
          path[prefix.size()] == '/');
}

}  // namespace

ConfigSnapshot::ConfigSnapshot(Manifest manifest)
    : m_manifest(std::move(manifest)) {
  for (const KeySpec& spec : m_manifest.m_keys) {
    m_keys.emplace(spec.m_sha256, &spec);
  }
  for (const WorkspaceSpec& spec : m_manifest.m_workspaces) {
    m_workspaces.emplace(spec.m_name, &spec);
  }
  for (const ModelSpec& spec : m_manifest.m_models) {
    m_models.emplace(spec.m_name, &spec);
  }
  for (const UpstreamSpec& spec : m_manifest.m_upstreams) {
    m_upstreams.emplace(spec.m_name, &spec);
  }
}

const KeySpec* ConfigSnapshot::FindKey(std::string_view sha256) const {
  return Find(m_keys, sha256);
}

const WorkspaceSpec* ConfigSnapshot::FindWorkspace(
    std::string_view name) const {
  return Find(m_workspaces, name);
}

const ModelSpec* ConfigSnapshot::FindModel(std::string_view name) const {
  return Find(m_models, name);
}

const UpstreamSpec* ConfigSnapshot::FindUpstream(std::string_view name) const {
  return Find(m_upstreams, name);
}

const RouteSpec* ConfigSnapshot::FindRoute(std::string_view path) const {
  const RouteSpec* best = nullptr;
  for (const RouteSpec& route : m_manifest.m_routes) {
    if (IsPathPrefix(route.m_path, path) &&
        (best == nullptr || route.m_path.size() > best->m_path.size())) {
      best = &route;
    }
  }
  return best;
}

}  // namespace bronzecross
