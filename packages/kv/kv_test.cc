#include <doctest/doctest.h>

#include "kv/store_path.h"

namespace bronzecross {
namespace {

TEST_CASE(
    "a failing direct path sends calls through another VM, but not probes") {
  StorePathState state;
  CHECK(FirstPath(state, true, false) == StorePath::kDirect);
  RecordFailedCall(state, Millis(10'000), false);
  CHECK(FirstPath(state, true, false) == StorePath::kRelay);
  CHECK(FirstPath(state, true, true) == StorePath::kDirect);
  // No other VM reaches the service either.
  CHECK(FirstPath(state, false, false) == StorePath::kDirect);
  RecordReply(state, Millis(4));
  CHECK(FirstPath(state, true, false) == StorePath::kDirect);
}

TEST_CASE("an outage begins with the first failed call") {
  StorePathState state;
  RecordFailedCall(state, Millis(10'000), false);
  RecordFailedCall(state, Millis(12'000), false);
  CHECK(state.m_failing_since == Millis(10'000));
}

TEST_CASE("the direct timeout adapts to slow replies and to lost ones") {
  StorePathState state;
  const Millis usual = DirectTimeout(state);
  CHECK(usual <= Millis(200));
  // Replies of 400 ms time out at first, and are waited for after a few calls.
  int timeouts = 0;
  for (int i = 0; i < 20; ++i) {
    const Millis limit = DirectTimeout(state);
    if (limit < Millis(400)) {
      RecordFailedCall(state, Millis(10'000), true);
      ++timeouts;
    } else {
      RecordReply(state, Millis(400));
    }
  }
  CHECK(timeouts <= 4);
  CHECK(DirectTimeout(state) >= Millis(400));
  // A single lost reply doesn't raise the timeout of later calls.
  StorePathState lossy;
  RecordFailedCall(lossy, Millis(10'000), true);
  RecordReply(lossy, Millis(4));
  CHECK(DirectTimeout(lossy) == usual);
  for (int i = 0; i < 40; ++i) {
    RecordReply(state, Millis(4));
  }
  CHECK(DirectTimeout(state) <= Millis(200));
}

// Guards against watches that wait longer than the service keeps its history.
// Each of them costs a second call, which reads all keys again.
TEST_CASE("a watch ends before the history that continues it is dropped") {
  CHECK(MaxWatchWait(Millis(20'000)) < Millis(20'000));
  CHECK(MaxWatchWait(Millis(20'000)) >= Millis(15'000));
  CHECK(MaxWatchWait(Millis(600'000)) < Millis(30'000));
  CHECK(MaxWatchWait(Millis(100)) > Millis());
}

}  // namespace
}  // namespace bronzecross
