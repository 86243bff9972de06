#include <doctest/doctest.h>

#include "fleet/fleet_config.h"

namespace bronzecross {
namespace {

Route MakeRoute(const std::string& host, const std::string& prefix) {
  Route route;
  route.m_name = host + prefix;
  route.m_host = host;
  route.m_prefix = prefix;
  return route;
}

TEST_CASE("a path matches the route with the longest prefix of its host") {
  FleetConfig config;
  config.m_routes = {MakeRoute("a.test", "/x/"), MakeRoute("a.test", "/x/y/"),
                     MakeRoute("b.test", "/")};
  IndexConfig(config);
  CHECK(FindRoute(config, "a.test", "/x/y/z") == &config.m_routes[1]);
  CHECK(FindRoute(config, "A.TEST:80", "/x/1") == &config.m_routes[0]);
  CHECK(FindRoute(config, "a.test", "/xy") == nullptr);
  CHECK(FindRoute(config, "b.test", "/anything") == &config.m_routes[2]);
  CHECK(FindRoute(config, "c.test", "/x/") == nullptr);
}

// Guards against a look-up that depends on the order or the number of routes.
TEST_CASE("routes are found among many with nested prefixes") {
  FleetConfig config;
  Random random(3);
  for (int i = 0; i < 2'000; ++i) {
    std::string prefix = "/";
    const int depth = static_cast<int>(RandomUnit(random) * 4);
    for (int k = 0; k < depth; ++k) {
      prefix += std::to_string(static_cast<int>(RandomUnit(random) * 20)) + "/";
    }
    config.m_routes.push_back(MakeRoute("a.test", "/r" + prefix));
  }
  IndexConfig(config);
  for (int i = 0; i < 500; ++i) {
    std::string path = "/r";
    for (int k = 0; k < 5; ++k) {
      path += "/" + std::to_string(static_cast<int>(RandomUnit(random) * 20));
    }
    const Route* expected = nullptr;
    for (const Route& route : config.m_routes) {
      if (path.starts_with(route.m_prefix) &&
          (expected == nullptr ||
           route.m_prefix.size() > expected->m_prefix.size())) {
        expected = &route;
      }
    }
    CHECK(FindRoute(config, "a.test", path) == expected);
  }
  CHECK(FindRoute(config, "a.test", std::string(16'000, '/')) == nullptr);
  CHECK(FindRoute(config, "a.test", "") == nullptr);
  CHECK(FindRouteByName(config, config.m_routes[1'999].m_name) != nullptr);
}

TEST_CASE("an API key identifies its workspace") {
  FleetConfig config;
  Workspace a;
  a.m_name = "a";
  a.m_keys = {"k1", "k2"};
  config.m_workspaces = {a};
  IndexConfig(config);
  CHECK(FindWorkspaceByKey(config, "k2") == &config.m_workspaces[0]);
  CHECK(FindWorkspaceByKey(config, "") == nullptr);
  CHECK(FindWorkspaceByKey(config, "k3") == nullptr);
  CHECK(FindWorkspaceByName(config, "a") == &config.m_workspaces[0]);
}

TEST_CASE("services are picked in proportion to their weights") {
  Route route;
  route.m_services = {{"a", 9}, {"b", 1}, {"c", 0}};
  Random random(1);
  int b = 0;
  for (int i = 0; i < 10'000; ++i) {
    const std::string_view service = PickService(route, random);
    CHECK(service != "c");
    b += service == "b" ? 1 : 0;
  }
  CHECK(b > 800);
  CHECK(b < 1'200);
}

}  // namespace
}  // namespace bronzecross
