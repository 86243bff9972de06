#include "fleet/fleet_config.h"

#include <algorithm>

#include "base/text.h"

namespace bronzecross {
namespace {

// Returns null if `host`, which may include a port, has no routes.
const HostRoutes* FindHost(const FleetConfig& config, std::string_view host) {
  const auto found =
      config.m_by_host.find(ToLower(host.substr(0, host.find(':'))));
  return found == config.m_by_host.end() ? nullptr : &found->second;
}

}  // namespace

void IndexConfig(FleetConfig& config) {
  // The first of several entries with the same prefix, name or key counts.
  for (const Route& route : config.m_routes) {
    HostRoutes& routes = config.m_by_host[ToLower(route.m_host)];
    routes.m_by_prefix.emplace(route.m_prefix, &route);
    routes.m_longest_prefix =
        std::max(routes.m_longest_prefix, route.m_prefix.size());
    if (route.m_kind == RouteKind::kBatch) {
      routes.m_has_batch = true;
      config.m_has_public_batch = config.m_has_public_batch || route.m_public;
    }
    config.m_route_by_name.emplace(route.m_name, &route);
    config.m_has_homes = config.m_has_homes || !route.m_allowed_regions.empty();
  }
  for (const Workspace& workspace : config.m_workspaces) {
    config.m_workspace_by_name.emplace(workspace.m_name, &workspace);
    config.m_has_homes =
        config.m_has_homes || !workspace.m_allowed_regions.empty();
    for (const std::string& key : workspace.m_keys) {
      config.m_by_key.emplace(key, &workspace);
    }
  }
  for (const Service& service : config.m_services) {
    config.m_service_by_name.emplace(service.m_name, &service);
  }
}

const Route* FindRoute(const FleetConfig& config,
                       std::string_view host,
                       std::string_view path) {
  const HostRoutes* routes = FindHost(config, host);
  if (routes == nullptr) {
    return nullptr;
  }
  // Every prefix ends with a slash, so only the parts of the path that do can
  // match. Longer parts than the longest prefix are skipped, or a path of many
  // slashes would take long.
  std::string_view part = path.substr(0, routes->m_longest_prefix);
  for (;;) {
    const size_t slash = part.rfind('/');
    if (slash == std::string_view::npos) {
      return nullptr;
    }
    const auto route = routes->m_by_prefix.find(part.substr(0, slash + 1));
    if (route != routes->m_by_prefix.end()) {
      return route->second;
    }
    part = part.substr(0, slash);
  }
}

bool HasBatchRoute(const FleetConfig& config, std::string_view host) {
  const HostRoutes* routes = FindHost(config, host);
  return routes != nullptr && routes->m_has_batch;
}

const Route* FindRouteByName(const FleetConfig& config, std::string_view name) {
  const auto found = config.m_route_by_name.find(name);
  return found == config.m_route_by_name.end() ? nullptr : found->second;
}

const Workspace* FindWorkspaceByKey(const FleetConfig& config,
                                    std::string_view key) {
  const auto found = config.m_by_key.find(key);
  return found == config.m_by_key.end() ? nullptr : found->second;
}

const Workspace* FindWorkspaceByName(const FleetConfig& config,
                                     std::string_view name) {
  const auto found = config.m_workspace_by_name.find(name);
  return found == config.m_workspace_by_name.end() ? nullptr : found->second;
}

const Service* FindServiceByName(const FleetConfig& config,
                                 std::string_view name) {
  const auto found = config.m_service_by_name.find(name);
  return found == config.m_service_by_name.end() ? nullptr : found->second;
}

std::string_view PickService(const Route& route, Random& random) {
  if (route.m_services.size() == 1) {
    return route.m_services.front().m_service;
  }
  double total = 0;
  for (const ServiceShare& share : route.m_services) {
    total += share.m_weight;
  }
  double sample = RandomUnit(random) * total;
  for (const ServiceShare& share : route.m_services) {
    if (sample < share.m_weight) {
      return share.m_service;
    }
    sample -= share.m_weight;
  }
  return route.m_services.empty() ? std::string_view()
                                  : route.m_services.back().m_service;
}

}  // namespace bronzecross
