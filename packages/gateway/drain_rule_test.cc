#include <doctest/doctest.h>

#include "gateway/drain_rule.h"

namespace bronzecross {
namespace {

// Guards against late requests that a draining VM passes on and cuts when it
// exits.
TEST_CASE("late requests that may outlast the drain are rejected") {
  const Millis started(100'000);
  const DrainTimes drain = MakeDrainTimes(started, started + Millis(7'000));
  CHECK(drain.m_noticed < started + Millis(3'000));
  CHECK(drain.m_ends == started + Millis(7'000));
  // While the load balancer still sends callers, all are served.
  CHECK_FALSE(ShouldRejectInDrain(drain, started, started + Millis(20'000)));
  // Later on, those that end in time are.
  const Millis late = started + Millis(4'000);
  CHECK_FALSE(ShouldRejectInDrain(drain, late, late + Millis(3'000)));
  CHECK(ShouldRejectInDrain(drain, late, late + Millis(3'001)));
  CHECK(ShouldRejectInDrain(drain, drain.m_ends, drain.m_ends + Millis(1)));
}

TEST_CASE("a short drain has no time after its end") {
  const Millis started(100'000);
  const DrainTimes drain = MakeDrainTimes(started, started + Millis(500));
  CHECK(drain.m_noticed == drain.m_ends);
  CHECK(ShouldRejectInDrain(drain, drain.m_ends, drain.m_ends + Millis(10)));
}

}  // namespace
}  // namespace bronzecross
