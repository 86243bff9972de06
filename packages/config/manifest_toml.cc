// Parses and validates the operators' TOML form of the manifest.

#include <algorithm>
#include <set>

#include <absl/strings/str_cat.h>

#include "config/manifest.h"
#include "config/toml_table.h"

namespace bronzecross {
namespace {

constexpr double kMaxRate = 1e7;
constexpr size_t kSha256HexLength = 64;

using NameSet = std::set<std::string, std::less<>>;

// Records an error unless `value` is empty or one of `declared`.
void CheckDeclared(TomlTable& table,
                   std::string_view field,
                   const std::string& value,
                   const NameSet& declared) {
  if (!value.empty() && !declared.contains(value)) {
    table.AddError(
        field, absl::StrCat("names \"", value, "\", which is not declared"));
  }
}

// Records an error if `value` was declared before.
void CheckUnique(TomlTable& table,
                 std::string_view field,
                 const std::string& value,
                 NameSet& seen) {
  if (!value.empty() && !seen.insert(value).second) {
    table.AddError(field, absl::StrCat("\"", value, "\" is declared twice"));
  }
}

bool IsSha256Hex(std::string_view text) {
  return text.size() == kSha256HexLength &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

void ReadWorkspaces(TomlTable& root, TomlErrors& errors, Manifest& out) {
  NameSet seen;
  for (const toml::table* source : root.GetTables("workspace")) {
    TomlTable table(*source, errors);
    WorkspaceSpec& spec = out.m_workspaces.emplace_back();
    spec.m_name = table.RequireString("name");
    CheckUnique(table, "name", spec.m_name, seen);
    spec.m_rate_per_s = table.GetDouble("rate_per_s", 10, 0, kMaxRate);
    spec.m_burst = table.GetDouble("burst", 20, 0, kMaxRate);
    table.Finish();
  }
}

void ReadKeys(TomlTable& root,
              TomlErrors& errors,
              const NameSet& workspaces,
              Manifest& out) {
  NameSet ids;
  NameSet hashes;
  for (const toml::table* source : root.GetTables("key")) {
    TomlTable table(*source, errors);
    KeySpec& spec = out.m_keys.emplace_back();
    spec.m_id = table.RequireString("id");
    CheckUnique(table, "id", spec.m_id, ids);
    spec.m_workspace = table.RequireString("workspace");
    CheckDeclared(table, "workspace", spec.m_workspace, workspaces);
    spec.m_sha256 = table.RequireString("sha256");
    if (!spec.m_sha256.empty() && !IsSha256Hex(spec.m_sha256)) {
      table.AddError("sha256", "must be 64 lower-case hexadecimal digits");
    }
    CheckUnique(table, "sha256", spec.m_sha256, hashes);
    spec.m_withdrawn = table.GetBool("withdrawn", false);
    table.Finish();
  }
}

void ReadModels(TomlTable& root, TomlErrors& errors, Manifest& out) {
  NameSet seen;
  for (const toml::table* source : root.GetTables("model")) {
    TomlTable table(*source, errors);
    ModelSpec& spec = out.m_models.emplace_back();
    spec.m_name = table.RequireString("name");
    CheckUnique(table, "name", spec.m_name, seen);
    spec.m_version = table.GetString("version", "v1");
    spec.m_adapters = table.GetStrings("adapters");
    spec.m_min_ready = table.GetInt("min_ready", 1, 0, 10'000);
    table.Finish();
  }
}

void ReadUpstreamKind(TomlTable& table,
                      const NameSet& models,
                      UpstreamSpec& spec) {
  const std::string kind = table.GetString("kind", "engine");
  if (kind != "engine" && kind != "service") {
    table.AddError("kind", "must be engine or service");
  }
  spec.m_kind =
      kind == "service" ? UpstreamKind::kService : UpstreamKind::kEngine;
  spec.m_models = table.GetStrings("models");
  for (const std::string& model : spec.m_models) {
    CheckDeclared(table, "models", model, models);
  }
  spec.m_service = spec.m_kind == UpstreamKind::kService
                       ? table.RequireString("service")
                       : table.GetString("service", "");
  if (spec.m_kind == UpstreamKind::kEngine && spec.m_models.empty()) {
    table.AddError("models", "must name at least one model for an engine");
  }
}

void ReadUpstreams(TomlTable& root,
                   TomlErrors& errors,
                   const NameSet& models,
                   const NameSet& halves,
                   Manifest& out) {
  NameSet seen;
  for (const toml::table* source : root.GetTables("upstream")) {
    TomlTable table(*source, errors);
    UpstreamSpec& spec = out.m_upstreams.emplace_back();
    spec.m_name = table.RequireString("name");
    CheckUnique(table, "name", spec.m_name, seen);
    ReadUpstreamKind(table, models, spec);
    spec.m_url = table.RequireString("url");
    if (!spec.m_url.empty() && !spec.m_url.starts_with("http://") &&
        !spec.m_url.starts_with("https://")) {
      table.AddError("url", "must start with http:// or https://");
    }
    spec.m_availability_zone = table.GetString("availability_zone", "");
    spec.m_half = table.GetString("half", "");
    CheckDeclared(table, "half", spec.m_half, halves);
    spec.m_slots = table.GetInt("slots", 8, 1, 100'000);
    spec.m_speed = table.GetDouble("speed", 1, 0.001, 1000);
    spec.m_checks_fencing = table.GetBool("checks_fencing", false);
    const std::string state = table.GetString("state", "active");
    if (state != "active" && state != "leaving") {
      table.AddError("state", "must be active or leaving");
    }
    spec.m_state =
        state == "leaving" ? UpstreamState::kLeaving : UpstreamState::kActive;
    table.Finish();
  }
}

void ReadRoutes(TomlTable& root,
                TomlErrors& errors,
                const NameSet& services,
                Manifest& out) {
  NameSet seen;
  for (const toml::table* source : root.GetTables("route")) {
    TomlTable table(*source, errors);
    RouteSpec& spec = out.m_routes.emplace_back();
    spec.m_path = table.RequireString("path");
    CheckUnique(table, "path", spec.m_path, seen);
    if (!spec.m_path.empty() && !spec.m_path.starts_with('/')) {
      table.AddError("path", "must start with /");
    }
    if (spec.m_path.starts_with("/v1/")) {
      table.AddError("path", "must not lie under /v1/");
    }
    spec.m_service = table.RequireString("service");
    CheckDeclared(table, "service", spec.m_service, services);
    spec.m_methods = table.GetStrings("methods");
    if (spec.m_methods.empty()) {
      spec.m_methods = {"GET", "POST"};
    }
    spec.m_idempotent = table.GetBool("idempotent", false);
    spec.m_open = table.GetBool("open", false);
    spec.m_timeout_ms = table.GetInt("timeout_ms", 10'000, 1, 3'600'000);
    table.Finish();
  }
}

NameSet ServiceNames(const Manifest& manifest) {
  NameSet names;
  for (const UpstreamSpec& spec : manifest.m_upstreams) {
    if (spec.m_kind == UpstreamKind::kService) {
      names.insert(spec.m_service);
    }
  }
  return names;
}

template <typename T>
NameSet NamesOf(const std::vector<T>& specs) {
  NameSet names;
  for (const T& spec : specs) {
    names.insert(spec.m_name);
  }
  return names;
}

}  // namespace

Result<Manifest> ParseManifestToml(std::string_view text,
                                   std::string_view file) {
  TomlErrors errors(file);
  Manifest manifest;
  try {
    const toml::table document = toml::parse(text);
    TomlTable root(document, errors);
    manifest.m_halves = root.GetStrings("halves");
    manifest.m_max_loads = root.GetInt("max_loads", 1, 1, 10'000);
    const NameSet halves(manifest.m_halves.begin(), manifest.m_halves.end());
    ReadWorkspaces(root, errors, manifest);
    ReadKeys(root, errors, NamesOf(manifest.m_workspaces), manifest);
    ReadModels(root, errors, manifest);
    ReadUpstreams(root, errors, NamesOf(manifest.m_models), halves, manifest);
    ReadRoutes(root, errors, ServiceNames(manifest), manifest);
    root.Finish();
  } catch (const toml::parse_error& error) {
    errors.AddAtLine(error.source().begin.line, error.description());
  }
  if (!errors.empty()) {
    return Fail(ResultCode::kInvalidManifest, errors.Join());
  }
  return manifest;
}

}  // namespace bronzecross
