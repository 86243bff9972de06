#include "promises/fault_plan.h"

#include <set>

#include <doctest/doctest.h>

namespace bronzecross {

TEST_CASE("a seed gives the same faults again, and all kinds come up") {
  std::set<FaultKind> kinds;
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    const std::vector<Fault> faults = DrawFaults(seed, Millis(20'000), 6, 4);
    const std::vector<Fault> again = DrawFaults(seed, Millis(20'000), 6, 4);
    REQUIRE(faults.size() == again.size());
    CHECK(faults.size() >= 4);
    for (size_t i = 0; i < faults.size(); ++i) {
      CHECK(faults[i].m_at == again[i].m_at);
      CHECK(faults[i].m_target == again[i].m_target);
      kinds.insert(faults[i].m_kind);
    }
  }
  CHECK(kinds.size() == 13);
}

}  // namespace bronzecross
