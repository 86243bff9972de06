#include <doctest/doctest.h>

#include "kv/store_path.h"

namespace bronzecross {
namespace {

TEST_CASE("single failures keep the direct path; lasting ones use a relay") {
  StorePathState state;
  Millis now(10'000);
  CHECK_FALSE(ShouldRelay(state, now));
  NoteDirectFailure(state, now);
  state.m_last_direct_try = now;
  CHECK_FALSE(ShouldRelay(state, now + kRelayAfter - Millis(1)));
  CHECK(ShouldRelay(state, now + kRelayAfter));
  // Later failures don't restart the span.
  NoteDirectFailure(state, now + Millis(500));
  CHECK(IsDirectPathFailing(state, now + kRelayAfter));
  NoteDirectSuccess(state);
  CHECK_FALSE(IsDirectPathFailing(state, now + Millis(5'000)));
}

TEST_CASE("the direct path is tried again while calls are relayed") {
  StorePathState state;
  const Millis now(10'000);
  NoteDirectFailure(state, now);
  state.m_last_direct_try = now;
  CHECK(ShouldRelay(state, now + kDirectRetryInterval - Millis(1)));
  CHECK_FALSE(ShouldRelay(state, now + kDirectRetryInterval));
}

}  // namespace
}  // namespace bronzecross
