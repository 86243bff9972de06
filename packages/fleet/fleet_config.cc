#include "fleet/fleet_config.h"

#include <algorithm>

#include "base/text.h"

namespace bronzecross {

void IndexConfig(FleetConfig& config) {
  for (const Route& route : config.m_routes) {
    config.m_by_host[ToLower(route.m_host)].push_back(&route);
  }
  for (auto entry = config.m_by_host.begin(); entry != config.m_by_host.end();
       ++entry) {
    std::stable_sort(entry->second.begin(), entry->second.end(),
                     [](const Route* a, const Route* b) {
                       return a->m_prefix.size() > b->m_prefix.size();
                     });
  }
  for (const Workspace& workspace : config.m_workspaces) {
    for (const std::string& key : workspace.m_keys) {
      config.m_by_key.emplace(key, &workspace);
    }
  }
}

const Route* FindRoute(const FleetConfig& config,
                       std::string_view host,
                       std::string_view path) {
  const std::string name = ToLower(host.substr(0, host.find(':')));
  const auto found = config.m_by_host.find(name);
  if (found == config.m_by_host.end()) {
    return nullptr;
  }
  for (const Route* route : found->second) {
    if (path.starts_with(route->m_prefix)) {
      return route;
    }
  }
  return nullptr;
}

const Route* FindRouteByName(const FleetConfig& config, std::string_view name) {
  const auto found =
      std::find_if(config.m_routes.begin(), config.m_routes.end(),
                   [name](const Route& route) { return route.m_name == name; });
  return found == config.m_routes.end() ? nullptr : &*found;
}

const Workspace* FindWorkspaceByKey(const FleetConfig& config,
                                    std::string_view key) {
  const auto found = config.m_by_key.find(key);
  return found == config.m_by_key.end() ? nullptr : found->second;
}

const Workspace* FindWorkspaceByName(const FleetConfig& config,
                                     std::string_view name) {
  const auto found = std::find_if(
      config.m_workspaces.begin(), config.m_workspaces.end(),
      [name](const Workspace& workspace) { return workspace.m_name == name; });
  return found == config.m_workspaces.end() ? nullptr : &*found;
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
