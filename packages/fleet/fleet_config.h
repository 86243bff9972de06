// The configuration declared by operators: routes, services, workspaces and
// limits on callers. A FleetConfig holds one accepted version and is immutable.

#ifndef BRONZECROSS_FLEET_FLEET_CONFIG_H_
#define BRONZECROSS_FLEET_FLEET_CONFIG_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "base/clock.h"
#include "base/random.h"

namespace bronzecross {

enum class RouteKind {
  kIdempotent,     // may run more than once
  kNonIdempotent,  // runs at most once for each attempt of a caller
  kStreaming,      // server-sent events; at most once unless resumable
  kBatch,          // takes batch jobs
};

// A service that receives a fraction of a route's traffic.
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
  Millis m_timeout;         // maximum time that a caller waits
  Millis m_latency_target;  // for the first event or the whole response
  int m_max_attempts = 1;   // maximum number of upstreams tried per request
  int m_priority = 0;       // 0 is the highest
  bool m_public = false;    // requires no API key
  // Regions in which its requests may run; empty: all.
  std::vector<std::string> m_allowed_regions;
  // The fields below keep their defaults on routes of other kinds than those
  // named, whatever the operator writes.
  //
  // kStreaming:
  Millis m_gap_target;       // maximum pause between events
  bool m_resumable = false;  // another upstream can continue a stream
  // kBatch:
  Millis m_due;        // time from submission until all results are due
  Millis m_retention;  // time from submission until items may be deleted
  // Maximum number of waiting tokens per workspace; 0: no limit.
  int64_t m_waiting_tokens = 0;
};

struct Service {
  std::string m_name;
  int m_max_connections = 0;  // per upstream, from all VMs together
  bool m_is_engine = false;   // a model engine with batched slots
  // Memory of each engine for prompts and outputs, in tokens; 0: unknown.
  int64_t m_memory_tokens = 0;
  // How long an upstream is cold after its start, and the requests per second
  // that it can serve meanwhile. Never cold if either is zero.
  Millis m_cold_time;
  double m_cold_per_s = 0;
};

struct Workspace {
  std::string m_name;
  std::vector<std::string> m_keys;
  double m_rate_per_s = 0;  // 0: no limit
  double m_burst = 0;
  int m_priority = -1;  // overrides the route's priority; -1: not set
  // Regions in which its requests may run; empty: all.
  std::vector<std::string> m_allowed_regions;
};

struct CallerLimits {
  size_t m_header_bytes = 16'384;
  size_t m_body_bytes = 4'194'304;
  Millis m_header_timeout{3'000};
  Millis m_idle_timeout{15'000};
};

// Routes of one host by prefix.
struct HostRoutes {
  absl::flat_hash_map<std::string_view, const Route*> m_by_prefix;
  size_t m_longest_prefix = 0;  // in bytes
  bool m_has_batch = false;     // a batch route is among them
};

struct FleetConfig {
  int64_t m_version = 0;
  std::vector<Route> m_routes;
  std::vector<Service> m_services;
  std::vector<Workspace> m_workspaces;
  CallerLimits m_limits;

  // Whether a route or a workspace limits its requests to regions; set by
  // IndexConfig().
  bool m_has_homes = false;
  // Whether a batch route is public; set by IndexConfig().
  bool m_has_public_batch = false;

  // Indexes built by IndexConfig(). A look-up takes the same time with ten
  // routes and with ten thousand.
  absl::flat_hash_map<std::string, HostRoutes> m_by_host;
  absl::flat_hash_map<std::string_view, const Route*> m_route_by_name;
  absl::flat_hash_map<std::string_view, const Workspace*> m_by_key;
  absl::flat_hash_map<std::string_view, const Workspace*> m_workspace_by_name;
  absl::flat_hash_map<std::string_view, const Service*> m_service_by_name;

  FleetConfig() = default;
  FleetConfig(const FleetConfig&) = delete;
  FleetConfig& operator=(const FleetConfig&) = delete;
};

using FleetConfigPtr = std::shared_ptr<const FleetConfig>;

// Builds the lookup indexes, which hold pointers into `config`. The functions
// below find nothing without them.
void IndexConfig(FleetConfig& config);

// Returns the route of `host` with the longest prefix of `path`; null if none
// matches. `host` may include a port.
const Route* FindRoute(const FleetConfig& config,
                       std::string_view host,
                       std::string_view path);

// Returns whether one of the routes of `host`, which may include a port, is a
// batch route.
bool HasBatchRoute(const FleetConfig& config, std::string_view host);

const Route* FindRouteByName(const FleetConfig& config, std::string_view name);

// Returns the workspace of the API key `key`; null if there is none.
const Workspace* FindWorkspaceByKey(const FleetConfig& config,
                                    std::string_view key);

const Workspace* FindWorkspaceByName(const FleetConfig& config,
                                     std::string_view name);

const Service* FindServiceByName(const FleetConfig& config,
                                 std::string_view name);

// Picks a service for one request at random by the weights of the route.
// Returns an empty string if the route has no services.
std::string_view PickService(const Route& route, Random& random);

}  // namespace bronzecross

#endif  // BRONZECROSS_FLEET_FLEET_CONFIG_H_
