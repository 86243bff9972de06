// Settings of one VM, read from a TOML file. docs/SETTINGS.md is the reference.

#ifndef BRONZECROSS_CONFIG_SETTINGS_H_
#define BRONZECROSS_CONFIG_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/log.h"
#include "base/net_address.h"
#include "config/batch_options.h"

namespace bronzecross {

// What to do with a request that an upstream rejected with a short Retry-After.
enum class RetryAfterPolicy {
  // Sends it to another upstream; waits only while none has free slots.
  kWhenFull,
  // Waits and retries the same upstream.
  kSame,
  // Sends it to another upstream; fails if there is none.
  kNever,
};

struct Settings {
  // [vm]
  std::string m_vm_id;
  std::string m_availability_zone;
  // The organisation's halves that this VM serves; empty: all.
  std::vector<std::string> m_halves;
  // Directory for bulk data; empty: this VM stores none.
  std::string m_data_dir;
  int64_t m_data_max_bytes = 0;

  // [listen]
  NetAddress m_http_address;
  NetAddress m_peer_address;
  NetAddress m_admin_address;
  // File that receives the bound addresses as JSON after the start; empty: not
  // written.
  std::string m_port_file;

  // [store]
  std::vector<std::string> m_store_endpoints;
  std::string m_store_prefix;
  Millis m_store_timeout;
  Millis m_vm_lease_ttl;

  // [vm_list]
  std::string m_vm_list_url;
  Millis m_vm_list_poll;

  // [http]
  int64_t m_max_body_bytes = 0;
  int64_t m_max_file_bytes = 0;
  int64_t m_max_header_bytes = 0;
  int64_t m_max_connections = 0;
  // Bytes of request bodies that are held at the same time; 0: derived from the
  // machine's memory.
  int64_t m_http_budget_bytes = 0;
  Millis m_idle_timeout;

  // [online]
  Millis m_request_timeout;
  // Maximum number of requests of one workspace that wait for a model or
  // service without free slots.
  int64_t m_max_queue = 0;
  // Handling of upstreams that reject requests or fail, see docs/throttle.md.
  RetryAfterPolicy m_retry_after = RetryAfterPolicy::kWhenFull;
  bool m_cache_refusals = true;
  bool m_count_every_5xx = true;
  // Whether to prefer upstreams that recently served a prompt with the same
  // first bytes.
  bool m_prefix_routing = true;

  // [membership]
  Millis m_heartbeat_interval;
  int64_t m_max_heartbeats_per_s = 0;

  // [ledger]
  Millis m_ledger_copy_timeout;
  Millis m_ledger_append_timeout;
  int64_t m_ledger_repair_bytes_per_s = 0;
  Millis m_ledger_repair_interval;
  Millis m_ledger_repair_after;

  // [receipts]
  Millis m_receipt_retention;
  int64_t m_receipt_max_entries = 0;
  int64_t m_receipt_memory_bytes = 0;

  // [batch]
  BatchOptions m_batch;

  // [limits]
  // Whether each VM admits a fixed share instead of borrowing from others.
  bool m_limits_static = false;
  // Number of slots of a new slot table; VMs beyond this number can only
  // borrow.
  int64_t m_limit_slots = 0;
  // Maximum time that a request waits for borrowed tokens.
  Millis m_borrow_wait;

  // [drain]
  Millis m_drain_notice;
  Millis m_drain_timeout;

  // [log]
  Severity m_log_level = Severity::kInfo;
  LogFormat m_log_format = LogFormat::kText;
};

// Parses `text`. Fails with kInvalidSettings and one line "file:line: reason"
// for each error: unknown keys, wrong types and values out of range.
Result<Settings> ParseSettings(std::string_view text, std::string_view file);

Result<Settings> LoadSettings(const std::string& path);

}  // namespace bronzecross

#endif  // BRONZECROSS_CONFIG_SETTINGS_H_
