#include "placement/home_regions.h"

#include <doctest/doctest.h>

namespace bronzecross {
namespace {

// Guards against requests that run outside their regions, as one of two lists
// is ignored or an unknown zone counts as allowed.
TEST_CASE("a request runs only where its route and its workspace allow it") {
  Route route;
  Workspace workspace;
  CHECK_FALSE(AllowedRegionsOf(route, &workspace).IsLimited());
  CHECK(IsAllowedRegion("", AllowedRegionsOf(route, &workspace)));
  CHECK(IsAllowedRegion("x", AllowedRegionsOf(route, nullptr)));
  workspace.m_allowed_regions = {"x", "y"};
  CHECK(IsAllowedRegion("x", AllowedRegionsOf(route, &workspace)));
  CHECK_FALSE(IsAllowedRegion("z", AllowedRegionsOf(route, &workspace)));
  CHECK_FALSE(IsAllowedRegion("", AllowedRegionsOf(route, &workspace)));
  route.m_allowed_regions = {"y", "z"};
  const AllowedRegions both = AllowedRegionsOf(route, &workspace);
  CHECK(both.IsLimited());
  CHECK(IsAllowedRegion("y", both));
  CHECK_FALSE(IsAllowedRegion("x", both));
  CHECK_FALSE(IsAllowedRegion("z", both));
  CHECK(HasSameRegions(both, both));
  CHECK_FALSE(HasSameRegions(both, AllowedRegionsOf(route, nullptr)));
}

TEST_CASE("the region of a zone follows from the settings") {
  PlacementSettings settings;
  settings.m_zone_regions = {{"a", "x"}, {"b", "y"}};
  CHECK(RegionOfZone("a", settings) == "x");
  CHECK(RegionOfZone("c", settings).empty());
  CHECK(RegionOfZone("", settings).empty());
  CHECK(OwnRegion("b", settings) == "y");
  settings.m_region = std::string("z");
  CHECK(OwnRegion("b", settings) == "z");
}

}  // namespace
}  // namespace bronzecross
