#include "limits/token_bucket.h"

#include <doctest/doctest.h>

namespace bronzecross {

// Guards against admissions above rate x window + burst.
TEST_CASE("a window admits at most rate x window + burst") {
  TokenBucket bucket{10, Millis(0)};
  int admitted = 0;
  for (int64_t ms = 0; ms <= 2000; ++ms) {
    Refill(bucket, 100, 10, Millis(ms));
    admitted += TakeTokens(bucket, 1) ? 1 : 0;
  }
  CHECK(admitted <= 210);
  CHECK(admitted >= 209);
}

TEST_CASE("a clock that stands still or goes back adds no tokens") {
  TokenBucket bucket{0, Millis(1000)};
  Refill(bucket, 100, 10, Millis(500));
  CHECK(bucket.m_tokens == 0);
  Refill(bucket, 100, 10, Millis(1000));
  CHECK(bucket.m_tokens == 0);
  CHECK(TimeUntil(bucket, 100, 1) == Millis(10));
}

// Guards against admitting a burst twice: once from the refilled bucket and
// once from tokens given back late.
TEST_CASE("tokens given back late do not overfill a refilled bucket") {
  TokenBucket bucket{10, Millis(0)};
  ReserveTokens(bucket, 1, 10);
  Refill(bucket, 10, 10, Millis(600));
  TakeTokens(bucket, 6);
  CHECK(GiveBackTokens(bucket, 1, 10) == doctest::Approx(4));
  CHECK(GiveBackTokens(bucket, 1, 10) == 0);
  CHECK(GiveBackTokens(bucket, 2, 10) == 0);
}

}  // namespace bronzecross
