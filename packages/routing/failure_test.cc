#include <doctest/doctest.h>

#include "routing/circuit_breaker.h"
#include "routing/crash_tracker.h"
#include "routing/retry_budget.h"

namespace bronzecross {

// Guards against sending more than one probe to a failing upstream, and against
// a late response that closes the breaker.
TEST_CASE("a breaker opens after failures and closes after one probe") {
  CircuitBreaker breaker;
  Millis now(1000);
  CHECK_FALSE(RecordOutcome(breaker, true, now));
  CHECK_FALSE(RecordOutcome(breaker, true, now));
  CHECK(RecordOutcome(breaker, true, now));
  CHECK_FALSE(AllowsRequest(breaker, now));
  RecordOutcome(breaker, false, now);
  CHECK_FALSE(AllowsRequest(breaker, now));
  now += Millis(1000);
  CHECK(AllowsRequest(breaker, now));
  RecordSent(breaker, now);
  CHECK_FALSE(AllowsRequest(breaker, now));
  CHECK(RecordOutcome(breaker, true, now));
  now += Millis(1000);
  CHECK_FALSE(AllowsRequest(breaker, now));
  now += Millis(1000);
  RecordSent(breaker, now);
  RecordOutcome(breaker, false, now);
  CHECK(AllowsRequest(breaker, now));
}

// Guards against an upstream that fails every second request and never trips
// the breaker.
TEST_CASE("a breaker opens when half of the requests fail") {
  CircuitBreaker breaker;
  bool opened = false;
  for (int i = 0; i < 20; ++i) {
    opened = RecordOutcome(breaker, i % 2 == 0, Millis(1000)) || opened;
  }
  CHECK(opened);
}

// Guards against retries that multiply the load on a failing fleet.
TEST_CASE("retries are limited to a tenth of the recent requests") {
  RetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 10'000; ++i) {
    const Millis now(1000 + i);
    RecordRequest(budget, now);
    retries += TakeRetry(budget, now) ? 1 : 0;
  }
  CHECK(retries <= 1000 + 20);
  CHECK(retries >= 600);
}

// Guards against rejecting a request that only ran concurrently with the one
// that crashes the upstream.
TEST_CASE("a request is poisoned only after a crash while it ran alone") {
  CrashTracker tracker;
  const Millis now(1000);
  for (int i = 0; i < 5; ++i) {
    RecordCrash(tracker, 7, "vm-0", false, now);
  }
  CHECK(IsSuspect(TotalCrashes(tracker, 7, now)));
  CHECK_FALSE(IsPoisoned(TotalCrashes(tracker, 7, now)));
  RecordCrash(tracker, 8, "vm-0", false, now);
  RecordCrash(tracker, 8, "vm-1", true, now);
  CHECK(IsPoisoned(TotalCrashes(tracker, 8, now)));
  ClearCrashes(tracker, 7, now);
  ClearCrashes(tracker, 8, now);
  CHECK_FALSE(IsSuspect(TotalCrashes(tracker, 7, now)));
  CHECK(IsPoisoned(TotalCrashes(tracker, 8, now)));
  CHECK_FALSE(IsSuspect(TotalCrashes(tracker, 8, now + Millis(600'000))));
}

}  // namespace bronzecross
