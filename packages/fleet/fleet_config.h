// What operators declare: routes, services, workspaces and the limits on
// callers. One value is one accepted version and never changes.

#ifndef BRONZECROSS_FLEET_FLEET_CONFIG_H_
#define BRONZECROSS_FLEET_FLEET_CONFIG_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/random.h"

namespace bronzecross {

enum class RouteKind {
  kIdempotent,     // may run more than once
  kNonIdempotent,  // runs at most once for each attempt of a caller
  kStreaming,      // server-sent events; at most once unless resumable
  kBatch,          // takes batch jobs
};

// A service that takes part of a route's traffic.
struct ServiceShare {
  std::string m_service;
  double m_weight = 1;
};

struct Route {
  std::string m_name;
  std::string m_host;
  std::string m_prefix;  // begins and ends with a slash
  RouteKind m_kind = RouteKind::kNonIdempotent;
  std::vector<ServiceShare> m_services;
  Millis m_timeout;         // longest time that a caller is kept waiting
  Millis m_latency_target;  // for the first event or the whole response
  Millis m_gap_target;      // longest pause between events of a stream
  int m_max_attempts = 1;   // upstreams on which one request may run
  int m_priority = 0;       // 0 is the highest
  bool m_public = false;    // needs no key
  bool m_resumable = false;
  // Batch routes only.
  Millis m_due;                  // after submission, for all results
  Millis m_retention;            // after submission, until items may be dropped
  int64_t m_waiting_tokens = 0;  // most per workspace; 0: no limit

  // Whether a request may run more than once.
  bool IsRepeatable() const {
    return m_kind == RouteKind::kIdempotent || m_resumable;
  }
};

struct Service {
  std::string m_name;
  int m_max_connections = 0;  // of one upstream, from all VMs
  bool m_is_engine = false;   // a model engine with batched slots
};

struct Workspace {
  std::string m_name;
  std::vector<std::string> m_keys;
  double m_rate_per_s = 0;  // 0: no limit
  double m_burst = 0;
  int m_priority = -1;  // goes before the route's; -1: not set
};

struct CallerLimits {
  size_t m_header_bytes = 16'384;
  size_t m_body_bytes = 4'194'304;
  Millis m_header_timeout{3'000};
  Millis m_idle_timeout{15'000};
};

struct FleetConfig {
  int64_t m_version = 0;
  std::vector<Route> m_routes;
  std::vector<Service> m_services;
  std::vector<Workspace> m_workspaces;
  CallerLimits m_limits;

  // Built by IndexConfig().
  // Routes of a host, longest prefix first.
  std::map<std::string, std::vector<const Route*>, std::less<>> m_by_host;
  std::map<std::string, const Workspace*, std::less<>> m_by_key;

  FleetConfig() = default;
  FleetConfig(const FleetConfig&) = delete;
  FleetConfig& operator=(const FleetConfig&) = delete;
};

using FleetConfigPtr = std::shared_ptr<const FleetConfig>;

// Fills the look-up tables, which point into `config`.
void IndexConfig(FleetConfig& config);

// The route of `host` with the longest prefix that begins `path`; null if none
// matches. `host` may carry a port.
const Route* FindRoute(const FleetConfig& config,
                       std::string_view host,
                       std::string_view path);

const Route* FindRouteByName(const FleetConfig& config, std::string_view name);

// The workspace that holds `key`; null if none does.
const Workspace* FindWorkspaceByKey(const FleetConfig& config,
                                    std::string_view key);

const Workspace* FindWorkspaceByName(const FleetConfig& config,
                                     std::string_view name);

// The service for one request, drawn by the weights of the route; empty if the
// route names none.
std::string_view DrawService(const Route& route, Random& random);

}  // namespace bronzecross

#endif  // BRONZECROSS_FLEET_FLEET_CONFIG_H_
