#include "gateway/gateway_settings.h"

#include <fstream>
#include <sstream>

#include "base/text.h"
#include "config/toml_table.h"

namespace bronzecross {
namespace {

// Bounds of the durations in the settings, in milliseconds.
constexpr int64_t kMinMs = 100;
constexpr int64_t kMaxMs = 24 * 3'600'000;

// Bounds of the size of the store's values.
constexpr int64_t kMinValueBytes = 1 << 10;
constexpr int64_t kMaxValueBytes = 64 << 20;

// Bounds of the settings for cold upstreams.
constexpr double kMaxColdOver = 100;
constexpr double kMaxColdSlack = 100'000;
constexpr int64_t kMaxPrefillTokensPerMs = 100'000;

NetAddress ReadAddress(TomlTable& table, std::string_view name) {
  const std::string text = table.RequireString(name);
  if (text.empty()) {
    return NetAddress();
  }
  Result<NetAddress> address = ParseNetAddress(text);
  if (!address) {
    table.AddError(name, "must be IP:PORT");
    return NetAddress();
  }
  return *std::move(address);
}

void ReadPlacement(TomlTable placement,
                   TomlErrors& faults,
                   GatewaySettings& settings) {
  PlacementSettings& read = settings.m_placement;
  read.m_cold_over =
      placement.GetDouble("cold_over", read.m_cold_over, 0, kMaxColdOver);
  read.m_cold_slack =
      placement.GetDouble("cold_slack", read.m_cold_slack, 0, kMaxColdSlack);
  read.m_evacuation_bound =
      Millis(placement.GetInt("evacuate_ms", 0, 0, kMaxMs));
  read.m_region = placement.GetString("region", "");
  TomlTable zones(placement.GetTable("zone_regions"), faults);
  for (const std::string& zone : zones.GetNames()) {
    read.m_zone_regions[zone] = zones.RequireString(zone);
  }
  placement.Finish();
}

// Bounds of the memory and connection settings.
constexpr int64_t kMaxMb = 1 << 24;
constexpr int64_t kMaxDescriptors = 1 << 24;
constexpr int64_t kMaxBodyRate = 1 << 30;

void ReadCallerBounds(TomlTable memory,
                      TomlTable callers,
                      GatewaySettings& settings) {
  settings.m_machine_mb =
      memory.GetInt("machine_mb", settings.m_machine_mb, 0, kMaxMb);
  settings.m_budget_mb =
      memory.GetInt("budget_mb", settings.m_budget_mb, 0, kMaxMb);
  memory.Finish();
  settings.m_max_descriptors = callers.GetInt(
      "max_descriptors", settings.m_max_descriptors, 0, kMaxDescriptors);
  settings.m_max_connections = callers.GetInt(
      "max_connections", settings.m_max_connections, 0, kMaxDescriptors);
  settings.m_min_body_bytes_per_s = callers.GetInt(
      "min_body_bytes_per_s", settings.m_min_body_bytes_per_s, 1, kMaxBodyRate);
  settings.m_body_grace = Millis(callers.GetInt(
      "body_grace_ms", settings.m_body_grace.count(), kMinMs, kMaxMs));
  callers.Finish();
}

void ReadLog(TomlTable log, GatewaySettings& settings) {
  const Result<Severity> level = ParseSeverity(log.GetString("level", "info"));
  if (level) {
    settings.m_log_level = *level;
  } else {
    log.AddError("level", level.error().m_message);
  }
  const std::string format = log.GetString("format", "text");
  settings.m_log_format =
      format == "json" ? LogFormat::kJson : LogFormat::kText;
  if (format != "json" && format != "text") {
    log.AddError("format", "must be text or json");
  }
  log.Finish();
}

}  // namespace

Result<GatewaySettings> ParseGatewaySettings(std::string_view text,
                                             std::string_view file) {
  TomlErrors faults(file);
  toml::table document;
  try {
    document = toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    faults.AddAtLine(error.source().begin.line, error.description());
    return Fail(ResultCode::kInvalidSettings, faults.Join());
  }
  GatewaySettings settings;
  TomlTable root(document, faults);
  TomlTable vm(root.GetTable("vm"), faults);
  settings.m_vm_id = vm.RequireString("id");
  settings.m_zone = vm.RequireString("availability_zone");
  vm.Finish();
  TomlTable listen(root.GetTable("listen"), faults);
  settings.m_callers = ReadAddress(listen, "callers");
  settings.m_readiness = ReadAddress(listen, "readiness");
  settings.m_peers = ReadAddress(listen, "peers");
  settings.m_bootstrap = ReadAddress(listen, "bootstrap");
  settings.m_metrics = ReadAddress(listen, "metrics");
  listen.Finish();
  TomlTable store(root.GetTable("store"), faults);
  settings.m_store = ReadAddress(store, "address");
  settings.m_store_history = Millis(store.GetInt(
      "history_ms", settings.m_store_history.count(), kMinMs, kMaxMs));
  settings.m_store_value_bytes = static_cast<size_t>(store.GetInt(
      "value_bytes", static_cast<int64_t>(settings.m_store_value_bytes),
      kMinValueBytes, kMaxValueBytes));
  store.Finish();
  TomlTable cluster(root.GetTable("cluster"), faults);
  for (const std::string& seed : cluster.GetStrings("seeds")) {
    Result<NetAddress> address = ParseNetAddress(seed);
    if (address) {
      settings.m_seeds.push_back(*std::move(address));
    } else {
      cluster.AddError("seeds", "must hold IP:PORT only");
    }
  }
  cluster.Finish();
  TomlTable limits(root.GetTable("limits"), faults);
  settings.m_drain_limit = Millis(limits.GetInt(
      "drain_limit_ms", settings.m_drain_limit.count(), kMinMs, kMaxMs));
  settings.m_result_retention = Millis(
      limits.GetInt("result_retention_ms", settings.m_result_retention.count(),
                    kMinMs, kMaxMs));
  limits.Finish();
  TomlTable batch(root.GetTable("batch"), faults);
  settings.m_forward_jobs = batch.GetBool("forward_jobs", false);
  batch.Finish();
  ReadPlacement(TomlTable(root.GetTable("placement"), faults), faults,
                settings);
  TomlTable dispatch(root.GetTable("dispatch"), faults);
  settings.m_prompt_affinity = dispatch.GetBool("prompt_affinity", false);
  settings.m_prefill_tokens_per_ms =
      dispatch.GetInt("prefill_tokens_per_ms", settings.m_prefill_tokens_per_ms,
                      1, kMaxPrefillTokensPerMs);
  dispatch.Finish();
  ReadCallerBounds(TomlTable(root.GetTable("memory"), faults),
                   TomlTable(root.GetTable("callers"), faults), settings);
  ReadLog(TomlTable(root.GetTable("log"), faults), settings);
  root.Finish();
  if (!faults.empty()) {
    return Fail(ResultCode::kInvalidSettings, faults.Join());
  }
  return settings;
}

Result<GatewaySettings> LoadGatewaySettings(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  if (!file || !(text << file.rdbuf())) {
    return Fail(ResultCode::kInvalidSettings, Concat(path, ": cannot be read"));
  }
  return ParseGatewaySettings(text.str(), path);
}

}  // namespace bronzecross
