#include <doctest/doctest.h>

#include "dispatch/repeat_rule.h"

namespace bronzecross {
namespace {

Route MakeRoute(RouteKind kind, bool resumable) {
  Route route;
  route.m_kind = kind;
  route.m_resumable = resumable;
  route.m_max_attempts = 3;
  return route;
}

TEST_CASE("requests of idempotent and resumable routes are repeatable") {
  Route route;
  route.m_kind = RouteKind::kStreaming;
  CHECK_FALSE(IsRepeatable(route));
  route.m_resumable = true;
  CHECK(IsRepeatable(route));
  route = Route();
  route.m_kind = RouteKind::kIdempotent;
  CHECK(IsRepeatable(route));
}

// Guards against a second run of a request whose route has a field that only
// means something for another kind of route (review case 9).
TEST_CASE("the kind of a route decides whether its requests may run again") {
  const RunHistory once{.m_runs = 1, .m_time_left = Millis(1'000)};
  for (const bool resumable : {false, true}) {
    CAPTURE(resumable);
    CHECK(MayRunAgain(MakeRoute(RouteKind::kIdempotent, resumable), once));
    CHECK(MayRunAgain(MakeRoute(RouteKind::kStreaming, resumable), once) ==
          resumable);
    CHECK_FALSE(
        MayRunAgain(MakeRoute(RouteKind::kNonIdempotent, resumable), once));
    CHECK_FALSE(MayRunAgain(MakeRoute(RouteKind::kBatch, resumable), once));
  }
}

TEST_CASE("attempts, time and resumability bound further runs") {
  const Route route = MakeRoute(RouteKind::kStreaming, true);
  const Millis second(1'000);
  CHECK(MayRunAgain(route, {2, true, second}));
  CHECK_FALSE(MayRunAgain(route, {3, true, second}));
  CHECK_FALSE(MayRunAgain(route, {1, false, second}));
  CHECK_FALSE(MayRunAgain(route, {1, true, Millis(30)}));
  CHECK_FALSE(MayRunAgain(route, {1, true, Millis(-5)}));
}

}  // namespace
}  // namespace bronzecross
