#include "placement/freeze_guard.h"

#include <doctest/doctest.h>

namespace bronzecross {
namespace {

// Guards against requests that are sent between the end of a freeze and the
// regular task, and against a hold without end.
TEST_CASE("requests are held after a freeze, for a bounded time") {
  FreezeGuard guard;
  CHECK_FALSE(IsHeld(guard, Millis(100'000)));
  CHECK_FALSE(DetectFreeze(guard, Millis(100'000)));
  CHECK_FALSE(DetectFreeze(guard, Millis(100'100)));
  CHECK_FALSE(IsHeld(guard, Millis(101'599)));
  CHECK(IsHeld(guard, Millis(105'000)));
  CHECK(DetectFreeze(guard, Millis(105'000)));
  CHECK(IsHeld(guard, Millis(105'399)));
  CHECK_FALSE(DetectFreeze(guard, Millis(105'100)));
  CHECK_FALSE(IsHeld(guard, Millis(105'400)));
}

}  // namespace
}  // namespace bronzecross
