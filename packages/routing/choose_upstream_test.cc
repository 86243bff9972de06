#include "routing/choose_upstream.h"

#include <array>
#include <vector>

#include <doctest/doctest.h>

namespace bronzecross {
namespace {

UpstreamView View(double service_ms, int64_t in_flight) {
  UpstreamView view;
  view.m_slots = 4;
  view.m_answers = 100;
  view.m_service_ms = service_ms;
  view.m_own_in_flight = in_flight;
  view.m_online_in_flight = in_flight;
  return view;
}

}  // namespace

TEST_CASE("no candidates give no decision") {
  Random random(1);
  CHECK_FALSE(ChooseUpstream({}, random).has_value());
}

// Guards against all VMs picking the same upstream on equal information.
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

// Guards against engines that are overfilled although the VM can queue.
TEST_CASE("full upstreams get nothing, a faster one little beyond its slots") {
  Random random(1);
  std::vector<UpstreamView> views = {View(100, 4), View(100, 4)};
  CHECK_FALSE(ChooseUpstream(views, random).has_value());
  views[1] = View(1000, 0);
  CHECK(ChooseUpstream(views, random)->m_index == 0);
  views[0] = View(100, 6);
  CHECK(ChooseUpstream(views, random)->m_index == 1);
}

// Guards against an upstream that works again and stays unused.
TEST_CASE("an upstream whose probe is due is tried before a cheaper one") {
  Random random(1);
  std::vector<UpstreamView> views = {View(100, 0), View(130, 0)};
  CHECK(ChooseUpstream(views, random)->m_index == 0);
  views[1].m_probe_due = true;
  CHECK(ChooseUpstream(views, random)->m_index == 1);
  // A probe that waits behind other requests would tell nothing soon.
  views[1] = View(130, 6);
  views[1].m_probe_due = true;
  CHECK(ChooseUpstream(views, random)->m_index == 0);
}

// Guards against a new or restarted replica that gets a burst at once.
TEST_CASE("a replica without answers gets one request, then its share") {
  Random random(1);
  std::vector<UpstreamView> views = {View(100, 2), View(100, 1)};
  CHECK(ChooseUpstream(views, random)->m_index == 1);
  views[1].m_answers = 0;
  CHECK(ChooseUpstream(views, random)->m_index == 0);
}

// Guards against hints that outweigh a queue.
TEST_CASE("a cached prefix decides between free upstreams only") {
  Random random(1);
  std::vector<UpstreamView> views = {View(100, 2), View(100, 0)};
  views[0].m_prefix_match = 1;
  CHECK(ChooseUpstream(views, random)->m_index == 0);
  views[0] = View(100, 5);
  views[0].m_prefix_match = 1;
  CHECK(ChooseUpstream(views, random)->m_index == 1);
}

}  // namespace bronzecross
