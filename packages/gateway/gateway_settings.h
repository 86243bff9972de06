// The settings of one gateway VM, read from a TOML file.

#ifndef BRONZECROSS_GATEWAY_GATEWAY_SETTINGS_H_
#define BRONZECROSS_GATEWAY_GATEWAY_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/log.h"
#include "base/net_address.h"
#include "placement/placement_settings.h"

namespace bronzecross {

struct GatewaySettings {
  std::string m_vm_id;
  std::string m_zone;
  // Addresses to listen on.
  NetAddress m_callers;    // for callers
  NetAddress m_readiness;  // for the load balancer's readiness checks
  NetAddress m_peers;      // for other VMs, TCP and UDP
  NetAddress m_bootstrap;  // for other VMs that have this one as a seed
  NetAddress m_metrics;
  NetAddress m_store;
  Millis m_store_history{20'000};  // how long the store keeps its history
  size_t m_store_value_bytes = 1'048'576;  // maximum size of a value
  std::vector<NetAddress> m_seeds;
  Millis m_drain_limit{7'000};         // maximum duration of a stop
  Millis m_result_retention{120'000};  // of finished jobs, since submission
  // Whether jobs go to VM groups with a lower batch load.
  bool m_forward_jobs = false;
  PlacementSettings m_placement;
  // Whether upstreams that hold the start of a prompt are preferred.
  bool m_prompt_affinity = false;
  int64_t m_prefill_tokens_per_ms = 75;  // of the engines, about
  // Memory and descriptors of the machine, for machines that don't show them;
  // 0: as the system reports.
  int64_t m_machine_mb = 0;
  int64_t m_max_descriptors = 0;
  // Maximum memory for what connections hold, and maximum number of callers'
  // connections; 0: derived from the memory and the descriptors.
  int64_t m_budget_mb = 0;
  int64_t m_max_connections = 0;
  // A request body must arrive at this rate once the grace period has passed.
  int64_t m_min_body_bytes_per_s = 1'024;
  Millis m_body_grace{5'000};
  Severity m_log_level = Severity::kInfo;
  LogFormat m_log_format = LogFormat::kText;
};

// The settings that SIGHUP changes while tasks run. Returns copies only: a task
// that is suspended while they are replaced must hold no reference to them.
class LiveSettings {
 public:
  explicit LiveSettings(const GatewaySettings& settings) { Replace(settings); }
  LiveSettings(const LiveSettings&) = delete;
  LiveSettings& operator=(const LiveSettings&) = delete;

  void Replace(const GatewaySettings& settings) {
    m_seeds = settings.m_seeds;
    m_drain_limit = settings.m_drain_limit;
  }
  std::vector<NetAddress> Seeds() const { return m_seeds; }
  Millis DrainLimit() const { return m_drain_limit; }

 private:
  std::vector<NetAddress> m_seeds;
  Millis m_drain_limit;
};

// Fails with kInvalidSettings. The message has one "file:line: reason" per
// line.
Result<GatewaySettings> LoadGatewaySettings(const std::string& path);
Result<GatewaySettings> ParseGatewaySettings(std::string_view text,
                                             std::string_view file);

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_GATEWAY_SETTINGS_H_
