#include "routing/choose_upstream.h"

#include <array>
#include <vector>

#include <doctest/doctest.h>

namespace bronzecross {

TEST_CASE("no candidates give no decision") {
  Random random(1);
  CHECK_FALSE(ChooseUpstream({}, Millis(0), random).has_value());
}

// Guards against all VMs picking the same upstream on equal information.
TEST_CASE("equal candidates are picked evenly") {
  Random random(1);
  const std::vector<UpstreamView> views(4);
  std::array<int, 4> counts = {};
  for (int i = 0; i < 4000; ++i) {
    ++counts[ChooseUpstream(views, Millis(0), random)->m_index];
  }
  for (const int count : counts) {
    CHECK(count > 850);
  }
}

TEST_CASE("own requests in flight count though the report is old") {
  Random random(1);
  std::vector<UpstreamView> views(2);
  views[0].m_own_in_flight = 3;
  views[1].m_reported = 1;
  views[1].m_reported_at = Millis(0);
  CHECK(ChooseUpstream(views, Millis(100'000), random)->m_index == 1);
}

}  // namespace bronzecross
