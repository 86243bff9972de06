#include <doctest/doctest.h>

#include "kv/store_outage.h"

namespace bronzecross {
namespace {

constexpr Millis kStart{10'000};

TEST_CASE("a single failed call before a quiet time postpones no removal") {
  StoreOutage outage;
  RecordFailure(outage, kStart);
  CHECK(RemovalTime(outage, kStart + Millis(2'900)) == kStart + Millis(2'900));
  RecordSuccess(outage, kStart + Millis(3'000));
  CHECK(RemovalTime(outage, kStart + Millis(3'050)) == kStart + Millis(3'050));
}

TEST_CASE("after a long outage removals wait for its end, not for their own") {
  StoreOutage outage;
  for (int ms = 0; ms <= 3'000; ms += 500) {
    RecordFailure(outage, kStart + Millis(ms));
  }
  const Millis end = kStart + Millis(3'200);
  RecordSuccess(outage, end);
  // Entries that expired in the outage have two seconds to come back.
  CHECK(RemovalTime(outage, end) >= end + Millis(2'000));
  CHECK(RemovalTime(outage, end + Millis(1'500)) == RemovalTime(outage, end));
  const Millis late = end + Millis(2'500);
  CHECK(RemovalTime(outage, late) == late);
}

TEST_CASE("removals that become known during a long outage are postponed") {
  StoreOutage outage;
  RecordFailure(outage, kStart);
  RecordFailure(outage, kStart + Millis(2'500));
  CHECK(RemovalTime(outage, kStart + Millis(2'600)) >
        kStart + Millis(2'600) + Millis(2'000));
  // A short one postpones none.
  RecordSuccess(outage, kStart + Millis(2'700));
  RecordFailure(outage, kStart + Millis(9'000));
  RecordSuccess(outage, kStart + Millis(9'100));
  CHECK(RemovalTime(outage, kStart + Millis(9'200)) == kStart + Millis(9'200));
}

}  // namespace
}  // namespace bronzecross
