// The settings of one VM of the gateway, in TOML.

#ifndef BRONZECROSS_GATEWAY_GATEWAY_SETTINGS_H_
#define BRONZECROSS_GATEWAY_GATEWAY_SETTINGS_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/log.h"
#include "base/net_address.h"

namespace bronzecross {

struct GatewaySettings {
  std::string m_vm_id;
  std::string m_zone;
  NetAddress m_callers;    // where callers connect
  NetAddress m_readiness;  // where the load balancer asks
  NetAddress m_peers;      // other VMs, TCP and UDP
  NetAddress m_bootstrap;  // other VMs that know this one from their seeds
  NetAddress m_metrics;
  NetAddress m_store;
  Millis m_store_history{20'000};  // for which the store keeps its history
  std::vector<NetAddress> m_seeds;
  Millis m_drain_limit{7'000};         // a stop takes no longer
  Millis m_result_retention{120'000};  // of finished jobs, from submission
  Severity m_log_level = Severity::kInfo;
  LogFormat m_log_format = LogFormat::kText;
};

// Fails with kInvalidSettings, one "file:line: reason" a line.
Result<GatewaySettings> LoadGatewaySettings(const std::string& path);
Result<GatewaySettings> ParseGatewaySettings(std::string_view text,
                                             std::string_view file);

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_GATEWAY_SETTINGS_H_
