#include "placement/home_regions.h"

#include <algorithm>

namespace bronzecross {
namespace {

bool Allows(std::span<const std::string> list, std::string_view region) {
  return list.empty() || (!region.empty() && std::find(list.begin(), list.end(),
                                                       region) != list.end());
}

}  // namespace

AllowedRegions AllowedRegionsOf(const Route& route,
                                const Workspace* workspace) {
  AllowedRegions allowed;
  allowed.m_of_route = route.m_allowed_regions;
  if (workspace != nullptr) {
    allowed.m_of_workspace = workspace->m_allowed_regions;
  }
  return allowed;
}

bool HasSameRegions(const AllowedRegions& a, const AllowedRegions& b) {
  return std::equal(a.m_of_route.begin(), a.m_of_route.end(),
                    b.m_of_route.begin(), b.m_of_route.end()) &&
         std::equal(a.m_of_workspace.begin(), a.m_of_workspace.end(),
                    b.m_of_workspace.begin(), b.m_of_workspace.end());
}

bool IsAllowedRegion(std::string_view region, const AllowedRegions& allowed) {
  return Allows(allowed.m_of_route, region) &&
         Allows(allowed.m_of_workspace, region);
}

std::string_view RegionOfZone(std::string_view zone,
                              const PlacementSettings& settings) {
  const auto found = settings.m_zone_regions.find(zone);
  return found == settings.m_zone_regions.end() ? std::string_view()
                                                : found->second;
}

std::string_view OwnRegion(std::string_view zone,
                           const PlacementSettings& settings) {
  return settings.m_region.empty() ? RegionOfZone(zone, settings)
                                   : settings.m_region;
}

}  // namespace bronzecross
