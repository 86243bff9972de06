#include <doctest/doctest.h>

#include "routing/circuit_breaker.h"
#include "routing/crash_book.h"
#include "routing/retry_budget.h"

namespace bronzecross {

// Guards against a failing upstream that is hit by more than one probe, and
// against a late answer that closes the breaker.
TEST_CASE("a breaker opens after failures and closes by one probe") {
  CircuitBreaker breaker;
  Millis now(1000);
  CHECK_FALSE(NoteOutcome(breaker, true, now));
  CHECK_FALSE(NoteOutcome(breaker, true, now));
  CHECK(NoteOutcome(breaker, true, now));
  CHECK_FALSE(AllowsRequest(breaker, now));
  NoteOutcome(breaker, false, now);
  CHECK_FALSE(AllowsRequest(breaker, now));
  now += Millis(1000);
  CHECK(AllowsRequest(breaker, now));
  NoteSent(breaker, now);
  CHECK_FALSE(AllowsRequest(breaker, now));
  CHECK(NoteOutcome(breaker, true, now));
  now += Millis(1000);
  CHECK_FALSE(AllowsRequest(breaker, now));
  now += Millis(1000);
  NoteSent(breaker, now);
  NoteOutcome(breaker, false, now);
  CHECK(AllowsRequest(breaker, now));
}

// Guards against an upstream that fails every second request for ever.
TEST_CASE("a breaker opens on a share of failures") {
  CircuitBreaker breaker;
  bool opened = false;
  for (int i = 0; i < 20; ++i) {
    opened = NoteOutcome(breaker, i % 2 == 0, Millis(1000)) || opened;
  }
  CHECK(opened);
}

// Guards against retries that multiply the load of a failing fleet.
TEST_CASE("retries stay at a tenth of the recent requests") {
  RetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 10'000; ++i) {
    const Millis now(1000 + i);
    NoteRequest(budget, now);
    retries += TakeRetry(budget, now) ? 1 : 0;
  }
  CHECK(retries <= 1000 + 20);
  CHECK(retries >= 600);
}

// Guards against refusing a request that only ran beside the one that crashes.
TEST_CASE("only deaths of a request that ran alone poison it") {
  CrashBook book;
  const Millis now(1000);
  for (int i = 0; i < 5; ++i) {
    ChargeCrash(book, 7, "vm-0", false, now);
  }
  CHECK(IsSuspect(TotalCrashes(book, 7, now)));
  CHECK_FALSE(IsPoisoned(TotalCrashes(book, 7, now)));
  ChargeCrash(book, 8, "vm-0", false, now);
  ChargeCrash(book, 8, "vm-1", true, now);
  CHECK(IsPoisoned(TotalCrashes(book, 8, now)));
  ClearCrashes(book, 7, now);
  ClearCrashes(book, 8, now);
  CHECK_FALSE(IsSuspect(TotalCrashes(book, 7, now)));
  CHECK(IsPoisoned(TotalCrashes(book, 8, now)));
  CHECK_FALSE(IsSuspect(TotalCrashes(book, 8, now + Millis(600'000))));
}

}  // namespace bronzecross
