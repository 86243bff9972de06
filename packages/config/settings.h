// The settings of one VM, read from a TOML file. docs/SETTINGS.md is the
// reference.

#ifndef BRONZECROSS_CONFIG_SETTINGS_H_
#define BRONZECROSS_CONFIG_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/log.h"
#include "base/net_address.h"

namespace bronzecross {

// What a request does after an upstream refused it with a short Retry-After.
enum class RetryAfterPolicy {
  // It goes to another upstream, and waits only while none has room.
  kWhenFull,
  // It waits and asks the same upstream again.
  kSame,
  // It goes to another upstream, and fails if there is none.
  kNever,
};

struct Settings {
  // [vm]
  std::string m_vm_id;
  std::string m_availability_zone;
  // The halves of the organisation that this VM serves; empty: all.
  std::vector<std::string> m_halves;
  // The folder for bulk data; empty: this VM keeps nothing.
  std::string m_data_dir;
  int64_t m_data_max_bytes = 0;

  // [listen]
  NetAddress m_http_address;
  NetAddress m_peer_address;
  NetAddress m_admin_address;
  // Receives the bound addresses as JSON after start; empty: not written.
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
  Millis m_idle_timeout;

  // [online]
  Millis m_request_timeout;
  // Requests of one workspace that may wait for a full model or service.
  int64_t m_max_queue = 0;
  // How upstreams that refuse or fail are treated, see docs/throttle.md.
  RetryAfterPolicy m_retry_after = RetryAfterPolicy::kWhenFull;
  bool m_cache_refusals = true;
  bool m_count_every_5xx = true;
  // Prefers upstreams that lately had a prompt with the same first bytes.
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
  Millis m_receipt_keep;
  int64_t m_receipt_max_entries = 0;
  int64_t m_receipt_memory_bytes = 0;

  // [limits]
  // Whether each VM admits a static share instead of borrowing from others.
  bool m_limits_static = false;
  // Slots of a new slot table; VMs beyond this number only borrow.
  int64_t m_limit_slots = 0;
  // How long a request waits for borrowed tokens.
  Millis m_borrow_wait;

  // [drain]
  Millis m_drain_notice;
  Millis m_drain_timeout;

  // [log]
  Severity m_log_level = Severity::kInfo;
  LogFormat m_log_format = LogFormat::kText;
};

// Parses `text`. Fails with kInvalidSettings and one line "file:line: reason"
// for each fault; unknown keys, wrong types and values out of range are faults.
Result<Settings> ParseSettings(std::string_view text, std::string_view file);

Result<Settings> LoadSettings(const std::string& path);

}  // namespace bronzecross

#endif  // BRONZECROSS_CONFIG_SETTINGS_H_
