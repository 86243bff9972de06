#include <doctest/doctest.h>

#include "kv/store_path.h"

namespace bronzecross {
namespace {

TEST_CASE(
    "a failing direct path sends calls through another VM, but not probes") {
  StorePathState state;
  CHECK(FirstPath(state, true, false) == StorePath::kDirect);
  NoteFailedCall(state, Millis(10'000), false);
  CHECK(FirstPath(state, true, false) == StorePath::kRelay);
  CHECK(FirstPath(state, true, true) == StorePath::kDirect);
  // Nobody else reaches the service either.
  CHECK(FirstPath(state, false, false) == StorePath::kDirect);
  NoteReply(state, Millis(4));
  CHECK(FirstPath(state, true, false) == StorePath::kDirect);
}

TEST_CASE("the span of a failure begins with its first call") {
  StorePathState state;
  NoteFailedCall(state, Millis(10'000), false);
  NoteFailedCall(state, Millis(12'000), false);
  CHECK(state.m_failing_since == Millis(10'000));
}

TEST_CASE("patience follows the replies: a slow service isn't a lost one") {
  StorePathState state;
  const Millis usual = DirectTimeout(state);
  CHECK(usual <= Millis(200));
  // Replies of 400 ms are given up at first, and waited for after a few.
  int given_up = 0;
  for (int i = 0; i < 20; ++i) {
    const Millis limit = DirectTimeout(state);
    if (limit < Millis(400)) {
      NoteFailedCall(state, Millis(10'000), true);
      ++given_up;
    } else {
      NoteReply(state, Millis(400));
    }
  }
  CHECK(given_up <= 4);
  CHECK(DirectTimeout(state) >= Millis(400));
  // A single lost reply doesn't make the next calls wait long.
  StorePathState lossy;
  NoteFailedCall(lossy, Millis(10'000), true);
  NoteReply(lossy, Millis(4));
  CHECK(DirectTimeout(lossy) == usual);
  for (int i = 0; i < 40; ++i) {
    NoteReply(state, Millis(4));
  }
  CHECK(DirectTimeout(state) <= Millis(200));
}

// Guards against watches that outlive the service's history: each then costs a
// second call that reads all again.
TEST_CASE("a watch ends while it can still be continued") {
  CHECK(LongestWatch(Millis(20'000)) < Millis(20'000));
  CHECK(LongestWatch(Millis(20'000)) >= Millis(15'000));
  CHECK(LongestWatch(Millis(600'000)) < Millis(30'000));
  CHECK(LongestWatch(Millis(100)) > Millis());
}

}  // namespace
}  // namespace bronzecross
