#include "config/settings.h"

#include <fstream>
#include <sstream>

#include "config/toml_table.h"

namespace bronzecross {
namespace {

constexpr int64_t kMiB = 1 << 20;

NetAddress GetAddress(TomlTable& table,
                      std::string_view name,
                      std::string_view fallback) {
  const Result<NetAddress> address =
      ParseNetAddress(table.GetString(name, fallback));
  if (!address) {
    table.AddError(name, "must be an IPv4 address with a port");
    return NetAddress{};
  }
  return *address;
}

Millis GetMillis(TomlTable& table,
                 std::string_view name,
                 int64_t fallback,
                 int64_t lowest,
                 int64_t highest) {
  return Millis(table.GetInt(name, fallback, lowest, highest));
}

void ReadVm(const toml::table& source, TomlErrors& errors, Settings& out) {
  TomlTable table(source, errors);
  out.m_vm_id = table.RequireString("id");
  out.m_availability_zone = table.RequireString("availability_zone");
  out.m_halves = table.GetStrings("halves");
  out.m_data_dir = table.GetString("data_dir", "");
  out.m_data_max_bytes =
      table.GetInt("data_max_bytes", 10'000 * kMiB, kMiB, INT64_MAX);
  table.Finish();
}

void ReadListen(const toml::table& source, TomlErrors& errors, Settings& out) {
  TomlTable table(source, errors);
  out.m_http_address = GetAddress(table, "http", "127.0.0.1:8080");
  out.m_peer_address = GetAddress(table, "peer", "127.0.0.1:8081");
  out.m_admin_address = GetAddress(table, "admin", "127.0.0.1:8082");
  out.m_port_file = table.GetString("port_file", "");
  table.Finish();
}

void ReadStore(const toml::table& source, TomlErrors& errors, Settings& out) {
  TomlTable table(source, errors);
  out.m_store_endpoints = table.GetStrings("endpoints");
  if (out.m_store_endpoints.empty()) {
    table.AddError("endpoints", "needs at least one URL");
  }
  out.m_store_prefix = table.GetString("prefix", "/bronzecross/");
  out.m_store_timeout = GetMillis(table, "timeout_ms", 1000, 10, 60'000);
  out.m_vm_lease_ttl = GetMillis(table, "vm_lease_ttl_ms", 6000, 1000, 60'000);
  table.Finish();
}

void ReadVmList(const toml::table& source, TomlErrors& errors, Settings& out) {
  TomlTable table(source, errors);
  out.m_vm_list_url = table.RequireString("url");
  out.m_vm_list_poll = GetMillis(table, "poll_ms", 1000, 50, 60'000);
  table.Finish();
}

void ReadHttp(const toml::table& source, TomlErrors& errors, Settings& out) {
  TomlTable table(source, errors);
  out.m_max_body_bytes =
      table.GetInt("max_body_bytes", 8 * kMiB, 1024, 1024 * kMiB);
  out.m_max_file_bytes =
      table.GetInt("max_file_bytes", 2048 * kMiB, 1024, 65536 * kMiB);
  out.m_max_header_bytes =
      table.GetInt("max_header_bytes", 16 * 1024, 4096, kMiB);
  out.m_max_connections = table.GetInt("max_connections", 4000, 1, 100'000);
  out.m_http_budget_bytes = table.GetInt("budget_mb", 0, 0, kMiB) * kMiB;
  out.m_idle_timeout =
      GetMillis(table, "idle_timeout_ms", 60'000, 1000, 3'600'000);
  table.Finish();
}

void ReadLog(const toml::table& source, TomlErrors& errors, Settings& out) {
  TomlTable table(source, errors);
  const Result<Severity> level =
      ParseSeverity(table.GetString("level", "info"));
  if (level) {
    out.m_log_level = *level;
  } else {
    table.AddError("level", "must be debug, info, warning or error");
  }
  const std::string format = table.GetString("format", "text");
  if (format != "text" && format != "json") {
    table.AddError("format", "must be text or json");
  }
  out.m_log_format = format == "json" ? LogFormat::kJson : LogFormat::kText;
  table.Finish();
}

// Reads [ledger] and [receipts].
void ReadLedgerAndReceipts(TomlTable& root, TomlErrors& errors, Settings& out) {
  TomlTable ledger(root.GetTable("ledger"), errors);
  out.m_ledger_copy_timeout =
      GetMillis(ledger, "copy_timeout_ms", 2000, 50, 60'000);
  out.m_ledger_append_timeout =
      GetMillis(ledger, "append_timeout_ms", 8000, 100, 600'000);
  out.m_ledger_repair_bytes_per_s =
      ledger.GetInt("repair_bytes_per_s", 8 * kMiB, 1024, 65536 * kMiB);
  out.m_ledger_repair_interval =
      GetMillis(ledger, "repair_interval_ms", 5000, 100, 3'600'000);
  out.m_ledger_repair_after =
      GetMillis(ledger, "repair_after_ms", 30'000, 500, 86'400'000);
  ledger.Finish();
  TomlTable receipts(root.GetTable("receipts"), errors);
  out.m_receipt_retention = GetMillis(receipts, "keep_ms", 24 * 3'600'000, 1000,
                                      int64_t{30} * 24 * 3'600'000);
  out.m_receipt_max_entries =
      receipts.GetInt("max_entries_per_shard", 200'000, 10, 10'000'000);
  out.m_receipt_memory_bytes =
      receipts.GetInt("memory_bytes", 64 * kMiB, kMiB, 65536 * kMiB);
  receipts.Finish();
}

void ReadBatch(const toml::table& source, TomlErrors& errors, Settings& out) {
  TomlTable table(source, errors);
  BatchOptions& batch = out.m_batch;
  batch.m_fill_target =
      static_cast<double>(table.GetInt("fill_percent", 100, 1, 100)) / 100;
  batch.m_reserve_slots = table.GetInt("reserve_slots", 1, 0, 1000);
  batch.m_max_running = table.GetInt("max_running", 256, 1, 4096);
  batch.m_item_timeout =
      GetMillis(table, "item_timeout_ms", 300'000, 100, 86'400'000);
  table.Finish();
}

// Reads [online], [membership], [limits] and [drain].
void ReadServingSections(TomlTable& root, TomlErrors& errors, Settings& out) {
  TomlTable online(root.GetTable("online"), errors);
  out.m_request_timeout =
      GetMillis(online, "request_timeout_ms", 60'000, 100, 3'600'000);
  out.m_max_queue = online.GetInt("max_queue", 256, 0, 100'000);
  const std::string policy = online.GetString("retry_after", "when_full");
  if (policy == "same") {
    out.m_retry_after = RetryAfterPolicy::kSame;
  } else if (policy == "never") {
    out.m_retry_after = RetryAfterPolicy::kNever;
  } else if (policy != "when_full") {
    online.AddError("retry_after", "must be when_full, same or never");
  }
  out.m_cache_refusals = online.GetBool("cache_refusals", true);
  out.m_prefix_routing = online.GetBool("prefix_routing", true);
  out.m_count_every_5xx = online.GetBool("count_every_5xx", true);
  online.Finish();
  TomlTable membership(root.GetTable("membership"), errors);
  out.m_heartbeat_interval =
      GetMillis(membership, "heartbeat_ms", 100, 20, 10'000);
  out.m_max_heartbeats_per_s =
      membership.GetInt("max_heartbeats_per_s", 30, 4, 10'000);
  membership.Finish();
  TomlTable limits(root.GetTable("limits"), errors);
  const std::string mode = limits.GetString("mode", "slots");
  if (mode != "slots" && mode != "static") {
    limits.AddError("mode", "must be slots or static");
  }
  out.m_limits_static = mode == "static";
  out.m_limit_slots = limits.GetInt("slots", 24, 1, 1024);
  out.m_borrow_wait = GetMillis(limits, "borrow_wait_ms", 60, 0, 1000);
  limits.Finish();
  TomlTable drain(root.GetTable("drain"), errors);
  out.m_drain_notice = GetMillis(drain, "notice_ms", 3000, 0, 600'000);
  out.m_drain_timeout = GetMillis(drain, "timeout_ms", 60'000, 0, 3'600'000);
  drain.Finish();
}

}  // namespace

Result<Settings> ParseSettings(std::string_view text, std::string_view file) {
  TomlErrors errors(file);
  Settings settings;
  try {
    const toml::table document = toml::parse(text);
    TomlTable root(document, errors);
    ReadVm(root.GetTable("vm"), errors, settings);
    ReadListen(root.GetTable("listen"), errors, settings);
    ReadStore(root.GetTable("store"), errors, settings);
    ReadVmList(root.GetTable("vm_list"), errors, settings);
    ReadHttp(root.GetTable("http"), errors, settings);
    ReadLog(root.GetTable("log"), errors, settings);
    ReadBatch(root.GetTable("batch"), errors, settings);
    ReadServingSections(root, errors, settings);
    ReadLedgerAndReceipts(root, errors, settings);
    root.Finish();
  } catch (const toml::parse_error& error) {
    errors.AddAtLine(error.source().begin.line, error.description());
  }
  if (!errors.empty()) {
    return Fail(ResultCode::kInvalidSettings, errors.Join());
  }
  return settings;
}

Result<Settings> LoadSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return Fail(ResultCode::kInvalidSettings, path + ": cannot be read");
  }
  std::stringstream text;
  text << file.rdbuf();
  return ParseSettings(text.str(), path);
}

}  // namespace bronzecross
