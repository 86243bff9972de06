// Homes: the regions in which the requests of a route or a workspace may run.

#ifndef BRONZECROSS_PLACEMENT_HOME_REGIONS_H_
#define BRONZECROSS_PLACEMENT_HOME_REGIONS_H_

#include <span>
#include <string>
#include <string_view>

#include "fleet/fleet_config.h"
#include "placement/placement_settings.h"

namespace bronzecross {

// The lists of a request's route and workspace. An empty list allows every
// region. Both lists must outlive this object; a configuration owns them.
struct AllowedRegions {
  std::span<const std::string> m_of_route;
  std::span<const std::string> m_of_workspace;

  bool IsLimited() const {
    return !m_of_route.empty() || !m_of_workspace.empty();
  }
};

// `workspace` is null on public routes.
AllowedRegions AllowedRegionsOf(const Route& route, const Workspace* workspace);

// Whether two limits allow the same regions in the same order.
bool HasSameRegions(const AllowedRegions& a, const AllowedRegions& b);

// Whether a request may run in `region`. An empty region is none, so that only
// requests without a list may run there.
bool IsAllowedRegion(std::string_view region, const AllowedRegions& allowed);

// Returns the region of an availability zone; empty if it isn't in the
// settings.
std::string_view RegionOfZone(std::string_view zone,
                              const PlacementSettings& settings);
// Returns the region of a VM in `zone` with these settings.
std::string_view OwnRegion(std::string_view zone,
                           const PlacementSettings& settings);

}  // namespace bronzecross

#endif  // BRONZECROSS_PLACEMENT_HOME_REGIONS_H_
