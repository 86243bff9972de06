#include "routing/choose_upstream.h"

#include <array>
#include <vector>

#include <doctest/doctest.h>

namespace bronzecross {
namespace {

UpstreamView View(double service_ms, int64_t in_flight) {
  UpstreamView view;
  view.m_slots = 4;
  view.m_responses = 100;
  view.m_service_ms = service_ms;
  view.m_own_in_flight = in_flight;
  view.m_online_in_flight = in_flight;
  return view;
}

}  // namespace

TEST_CASE("no upstream is chosen without candidates") {
  Random random(1);
  CHECK_FALSE(ChooseUpstream({}, random).has_value());
}

// Guards against all VMs picking the same upstream when they have the same
// data.
TEST_CASE("equal candidates are picked evenly") {
  Random random(1);
  const std::vector<UpstreamView> views(4);
  std::array<int, 4> counts = {};
  for (int i = 0; i < 4000; ++i) {
    ++counts[ChooseUpstream(views, random)->m_index];
  }
  for (const int count : counts) {
    CHECK(count > 850);
  }
}

// Guards against overfilling engines while the VM could queue the requests.
TEST_CASE(
    "full upstreams get no requests, a faster one slightly exceeds its slots") {
  Random random(1);
  std::vector<UpstreamView> views = {View(100, 4), View(100, 4)};
  CHECK_FALSE(ChooseUpstream(views, random).has_value());
  views[1] = View(1000, 0);
  CHECK(ChooseUpstream(views, random)->m_index == 0);
  views[0] = View(100, 6);
  CHECK(ChooseUpstream(views, random)->m_index == 1);
}

// Guards against an upstream that stays unused after it has recovered.
TEST_CASE("an upstream whose probe is due is chosen before a cheaper one") {
  Random random(1);
  std::vector<UpstreamView> views = {View(100, 0), View(130, 0)};
  CHECK(ChooseUpstream(views, random)->m_index == 0);
  views[1].m_probe_due = true;
  CHECK(ChooseUpstream(views, random)->m_index == 1);
  // A probe queued behind other requests would give no result soon.
  views[1] = View(130, 6);
  views[1].m_probe_due = true;
  CHECK(ChooseUpstream(views, random)->m_index == 0);
}

// Guards against sending a burst to a new or restarted replica.
TEST_CASE("a replica without responses gets only one request at a time") {
  Random random(1);
  std::vector<UpstreamView> views = {View(100, 2), View(100, 1)};
  CHECK(ChooseUpstream(views, random)->m_index == 1);
  views[1].m_responses = 0;
  CHECK(ChooseUpstream(views, random)->m_index == 0);
}

// Guards against prefix hints that outweigh the wait for a slot.
TEST_CASE("a cached prefix decides only between upstreams with free slots") {
  Random random(1);
  std::vector<UpstreamView> views = {View(100, 2), View(100, 0)};
  views[0].m_prefix_match = 1;
  CHECK(ChooseUpstream(views, random)->m_index == 0);
  views[0] = View(100, 5);
  views[0].m_prefix_match = 1;
  CHECK(ChooseUpstream(views, random)->m_index == 1);
}

}  // namespace bronzecross
