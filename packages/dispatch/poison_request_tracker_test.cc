#include <doctest/doctest.h>

#include "base/text.h"
#include "dispatch/poison_request_tracker.h"

namespace bronzecross {
namespace {

constexpr Millis kStart{100'000};
constexpr uint32_t kRequest = 7;

ClusterView MakeView() {
  VmRecord self;
  self.m_id = "vm-a";
  self.m_zone = "z";
  self.m_incarnation = 1;
  return ClusterView(self);
}

// Breaks the request at `count` upstreams, one each second.
Millis Break(PoisonRequestTracker& tracker, int count, Millis now) {
  for (int i = 0; i < count; ++i) {
    now += Millis(1'000);
    tracker.RecordBrokenResponse(kRequest, Concat("i-", i), now);
  }
  return now;
}

// Guards against a request that crashes upstreams and is passed on again each
// time that an entry expires (review case 10).
TEST_CASE("a request stays blocked for as long as it keeps coming") {
  const ClusterView view = MakeView();
  PoisonRequestTracker tracker;
  Millis now = Break(tracker, 5, kStart);
  CHECK_FALSE(tracker.ShouldBlock(kRequest, view, now));
  now = Break(tracker, 1, now);
  for (int i = 0; i < 100; ++i) {
    CHECK(tracker.ShouldBlock(kRequest, view, now));
    CHECK_FALSE(tracker.ShouldBlock(kRequest + 1, view, now));
    now += Millis(20'000);
    tracker.Expire(now);
  }
  now += Millis(60'000);
  tracker.Expire(now);
  CHECK_FALSE(tracker.ShouldBlock(kRequest, view, now));
}

// Guards against a block that ends at one VM when the counts of the others
// expire, since the request only comes to this one.
TEST_CASE("a VM that blocks a request by others' counts goes on by its own") {
  PoisonRequestTracker others;
  Millis now = Break(others, 6, kStart);
  GossipMessage gossip;
  gossip.m_sender.m_id = "vm-b";
  gossip.m_sender.m_zone = "z";
  gossip.m_sender.m_incarnation = 1;
  gossip.m_sequence = 1;
  others.AddToGossip(gossip, now);
  REQUIRE(gossip.m_request_failures.size() == 1);
  ClusterView view = MakeView();
  view.OnGossip(gossip, now);
  PoisonRequestTracker tracker;
  CHECK(tracker.ShouldBlock(kRequest, view, now));
  const ClusterView alone = MakeView();
  now += Millis(30'000);
  CHECK(tracker.ShouldBlock(kRequest, alone, now));
}

// Guards against a common request that is blocked because one crash broke many
// of its runs.
TEST_CASE("what breaks at one upstream at the same time counts once") {
  const ClusterView view = MakeView();
  PoisonRequestTracker tracker;
  Millis now = kStart;
  for (int i = 0; i < 20; ++i) {
    tracker.RecordBrokenResponse(kRequest, "i-1", now);
    now += Millis(10);
  }
  CHECK_FALSE(tracker.ShouldBlock(kRequest, view, now));
  // Retries at other upstreams count however quickly they come.
  for (int i = 2; i < 7; ++i) {
    tracker.RecordBrokenResponse(kRequest, Concat("i-", i), now);
  }
  CHECK(tracker.ShouldBlock(kRequest, view, now));
  tracker.RecordCompleteResponse(kRequest);
  CHECK_FALSE(tracker.ShouldBlock(kRequest, view, now));
}

}  // namespace
}  // namespace bronzecross
