#include "placement/evacuated_zones.h"

#include <doctest/doctest.h>

namespace bronzecross {
namespace {

// Guards against evacuations that outlive their key, as the removal was only
// seen in a snapshot, and against one evacuation that ends another.
TEST_CASE(
    "several zones are evacuated, and a snapshot without a key ends one") {
  EvacuatedZones zones;
  CHECK(zones.Begin("a", Millis(10)));
  CHECK_FALSE(zones.Begin("a", Millis(20)));
  CHECK(zones.Begin("b", Millis(30)));
  CHECK_FALSE(zones.Begin("", Millis(40)));
  CHECK(zones.Since("a") == Millis(10));
  CHECK(zones.Since("c") == Millis());
  const std::vector<std::string_view> listed = {"b", "c"};
  CHECK(zones.FindUnlisted(listed) == std::vector<std::string>{"a"});
  CHECK(zones.End("a"));
  CHECK_FALSE(zones.End("a"));
  CHECK(zones.Contains("b"));
  CHECK_FALSE(zones.Contains("a"));
  CHECK_FALSE(zones.Contains(""));
  CHECK(zones.Count() == 1);
}

}  // namespace
}  // namespace bronzecross
