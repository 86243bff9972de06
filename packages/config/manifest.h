// The operators' manifest: workspaces, keys, models, upstreams, routes and the
// assignment of upstreams to the organisation's halves. Operators write it as
// TOML; the store and the VMs exchange it as JSON.

#ifndef BRONZECROSS_CONFIG_MANIFEST_H_
#define BRONZECROSS_CONFIG_MANIFEST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "base/error.h"

namespace bronzecross {

struct WorkspaceSpec {
  std::string m_name;
  // Requests per second and burst size, over all VMs together.
  double m_rate_per_s = 0;
  double m_burst = 0;

  bool operator==(const WorkspaceSpec&) const = default;
};

struct KeySpec {
  std::string m_id;
  std::string m_workspace;
  // SHA-256 of the key in lower-case hexadecimal. The key itself is never
  // stored.
  std::string m_sha256;
  bool m_withdrawn = false;

  bool operator==(const KeySpec&) const = default;
};

struct ModelSpec {
  std::string m_name;
  std::string m_version;
  std::vector<std::string> m_adapters;
  // Minimum number of replicas that must be ready at any time, also during a
  // version change.
  int64_t m_min_ready = 1;

  bool operator==(const ModelSpec&) const = default;
};

enum class UpstreamKind { kEngine, kService };
enum class UpstreamState { kActive, kLeaving };

struct UpstreamSpec {
  std::string m_name;
  UpstreamKind m_kind = UpstreamKind::kEngine;
  std::string m_url;
  std::string m_availability_zone;
  std::string m_half;
  // Engines: the models that may be served. Services: the service's name.
  std::vector<std::string> m_models;
  std::string m_service;
  // Maximum number of concurrent requests, and declared relative speed.
  int64_t m_slots = 8;
  double m_speed = 1;
  // Whether the upstream rejects an order with an outdated fencing token.
  bool m_checks_fencing = false;
  UpstreamState m_state = UpstreamState::kActive;

  bool operator==(const UpstreamSpec&) const = default;
};

struct RouteSpec {
  std::string m_path;  // path prefix
  std::string m_service;
  std::vector<std::string> m_methods;
  bool m_idempotent = false;
  bool m_open = false;  // served without an API key
  int64_t m_timeout_ms = 0;

  bool operator==(const RouteSpec&) const = default;
};

struct Manifest {
  // Incremented with each publication; zero: nothing published yet.
  int64_t m_generation = 0;
  // The generation that last changed the half of an upstream.
  int64_t m_halves_generation = 0;
  std::vector<std::string> m_halves;
  std::vector<WorkspaceSpec> m_workspaces;
  std::vector<KeySpec> m_keys;
  std::vector<ModelSpec> m_models;
  std::vector<UpstreamSpec> m_upstreams;
  std::vector<RouteSpec> m_routes;
  // Maximum number of concurrent model loads, which limits the load on the
  // weight store.
  int64_t m_max_loads = 1;

  bool operator==(const Manifest&) const = default;
};

// Parses an operator's manifest. Fails with kInvalidManifest and one line
// "file:line: reason" for each error, including references to undeclared names.
Result<Manifest> ParseManifestToml(std::string_view text,
                                   std::string_view file);

Result<Manifest> LoadManifest(const std::string& path);

// Sets the generation numbers of `next`, which is published after `current`.
void AssignNextGeneration(const Manifest& current, Manifest& next);

nlohmann::json ManifestToJson(const Manifest& manifest);

// Fails with kInvalidManifest if a field is missing or has a wrong type.
Result<Manifest> ManifestFromJson(const nlohmann::json& json);
Result<Manifest> ParseManifestJson(std::string_view text);

}  // namespace bronzecross

#endif  // BRONZECROSS_CONFIG_MANIFEST_H_
