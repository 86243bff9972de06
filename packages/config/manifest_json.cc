// JSON form of the manifest, as stored in the store.

#include <nlohmann/json.hpp>

#include "config/manifest.h"

namespace bronzecross {
namespace {

using nlohmann::json;

json ToJson(const WorkspaceSpec& spec) {
  return json{{"name", spec.m_name},
              {"rate_per_s", spec.m_rate_per_s},
              {"burst", spec.m_burst}};
}

json ToJson(const KeySpec& spec) {
  return json{{"id", spec.m_id},
              {"workspace", spec.m_workspace},
              {"sha256", spec.m_sha256},
              {"withdrawn", spec.m_withdrawn}};
}

json ToJson(const ModelSpec& spec) {
  return json{{"name", spec.m_name},
              {"version", spec.m_version},
              {"adapters", spec.m_adapters},
              {"min_ready", spec.m_min_ready}};
}

json ToJson(const UpstreamSpec& spec) {
  return json{
      {"name", spec.m_name},
      {"kind", spec.m_kind == UpstreamKind::kEngine ? "engine" : "service"},
      {"url", spec.m_url},
      {"availability_zone", spec.m_availability_zone},
      {"half", spec.m_half},
      {"models", spec.m_models},
      {"service", spec.m_service},
      {"slots", spec.m_slots},
      {"speed", spec.m_speed},
      {"checks_fencing", spec.m_checks_fencing},
      {"leaving", spec.m_state == UpstreamState::kLeaving}};
}

json ToJson(const RouteSpec& spec) {
  return json{{"path", spec.m_path},       {"service", spec.m_service},
              {"methods", spec.m_methods}, {"idempotent", spec.m_idempotent},
              {"open", spec.m_open},       {"timeout_ms", spec.m_timeout_ms}};
}

void FromJson(const json& in, WorkspaceSpec& out) {
  in.at("name").get_to(out.m_name);
  in.at("rate_per_s").get_to(out.m_rate_per_s);
  in.at("burst").get_to(out.m_burst);
}

void FromJson(const json& in, KeySpec& out) {
  in.at("id").get_to(out.m_id);
  in.at("workspace").get_to(out.m_workspace);
  in.at("sha256").get_to(out.m_sha256);
  in.at("withdrawn").get_to(out.m_withdrawn);
}

void FromJson(const json& in, ModelSpec& out) {
  in.at("name").get_to(out.m_name);
  in.at("version").get_to(out.m_version);
  in.at("adapters").get_to(out.m_adapters);
  in.at("min_ready").get_to(out.m_min_ready);
}

void FromJson(const json& in, UpstreamSpec& out) {
  in.at("name").get_to(out.m_name);
  out.m_kind = in.at("kind").get<std::string>() == "engine"
                   ? UpstreamKind::kEngine
                   : UpstreamKind::kService;
  in.at("url").get_to(out.m_url);
  in.at("availability_zone").get_to(out.m_availability_zone);
  in.at("half").get_to(out.m_half);
  in.at("models").get_to(out.m_models);
  in.at("service").get_to(out.m_service);
  in.at("slots").get_to(out.m_slots);
  in.at("speed").get_to(out.m_speed);
  in.at("checks_fencing").get_to(out.m_checks_fencing);
  out.m_state = in.at("leaving").get<bool>() ? UpstreamState::kLeaving
                                             : UpstreamState::kActive;
}

void FromJson(const json& in, RouteSpec& out) {
  in.at("path").get_to(out.m_path);
  in.at("service").get_to(out.m_service);
  in.at("methods").get_to(out.m_methods);
  in.at("idempotent").get_to(out.m_idempotent);
  in.at("open").get_to(out.m_open);
  in.at("timeout_ms").get_to(out.m_timeout_ms);
}

template <typename T>
json ListToJson(const std::vector<T>& specs) {
  json list = json::array();
  for (const T& spec : specs) {
    list.push_back(ToJson(spec));
  }
  return list;
}

template <typename T>
void ListFromJson(const json& in, std::vector<T>& out) {
  for (const json& element : in) {
    FromJson(element, out.emplace_back());
  }
}

}  // namespace

json ManifestToJson(const Manifest& manifest) {
  return json{{"generation", manifest.m_generation},
              {"halves_generation", manifest.m_halves_generation},
              {"halves", manifest.m_halves},
              {"workspaces", ListToJson(manifest.m_workspaces)},
              {"keys", ListToJson(manifest.m_keys)},
              {"models", ListToJson(manifest.m_models)},
              {"upstreams", ListToJson(manifest.m_upstreams)},
              {"routes", ListToJson(manifest.m_routes)},
              {"max_loads", manifest.m_max_loads}};
}

Result<Manifest> ManifestFromJson(const json& in) {
  Manifest out;
  try {
    in.at("generation").get_to(out.m_generation);
    in.at("halves_generation").get_to(out.m_halves_generation);
    in.at("halves").get_to(out.m_halves);
    ListFromJson(in.at("workspaces"), out.m_workspaces);
    ListFromJson(in.at("keys"), out.m_keys);
    ListFromJson(in.at("models"), out.m_models);
    ListFromJson(in.at("upstreams"), out.m_upstreams);
    ListFromJson(in.at("routes"), out.m_routes);
    in.at("max_loads").get_to(out.m_max_loads);
  } catch (const json::exception& error) {
    return Fail(ResultCode::kInvalidManifest, error.what());
  }
  return out;
}

Result<Manifest> ParseManifestJson(std::string_view text) {
  const json document = json::parse(text, nullptr, false);
  if (document.is_discarded()) {
    return Fail(ResultCode::kInvalidManifest, "the manifest is not JSON");
  }
  return ManifestFromJson(document);
}

}  // namespace bronzecross
