// What must always hold, under faults drawn from a few fixed seeds.

#include <doctest/doctest.h>

#include "promises/scenario.h"

namespace bronzecross {
namespace {

constexpr uint64_t kSeeds[] = {1, 2, 3};
constexpr Millis kLength{8000};

}  // namespace

TEST_CASE("no promise is broken under drawn faults") {
  for (const uint64_t seed : kSeeds) {
    ScenarioOptions options;
    options.m_seed = seed;
    options.m_length = kLength;
    const ScenarioResult result = RunScenario(options);
    CAPTURE(seed);
    for (const std::string& violation : result.m_violations) {
      CAPTURE(violation);
      CHECK(false);
    }
    CHECK(result.m_requests > 0);
    CHECK(result.m_faults > 0);
  }
}

}  // namespace bronzecross
