#include "limits/lending.h"

#include <numeric>

#include <doctest/doctest.h>

namespace bronzecross {

// Guards against buckets and loans that together exceed the burst.
TEST_CASE("capacity and loans in use stay within the burst") {
  for (const FleetLimit& limit :
       {FleetLimit{100, 20}, FleetLimit{1, 5}, FleetLimit{1000, 1000},
        FleetLimit{50, 1}, FleetLimit{10, 0}, FleetLimit{0, 5}}) {
    const double in_use = limit.m_rate_per_s * LoanLifetime(limit).Seconds();
    CHECK(FleetCapacity(limit) + in_use <= limit.m_burst + 1e-9);
    CHECK(LoanLifetime(limit) <= Millis(250));
  }
}

TEST_CASE("the demand follows the arrival rate and decays without arrivals") {
  Demand demand;
  for (int64_t ms = 0; ms < 2000; ms += 10) {
    CountArrival(demand, Millis(ms));
  }
  CHECK(DemandAt(demand, Millis(2000)) == doctest::Approx(100).epsilon(0.1));
  CHECK(DemandAt(demand, Millis(4000)) < 1);
}

// Guards against one message per request and against no message at all.
TEST_CASE(
    "borrows ahead only if less than half of the horizon's tokens are "
    "available") {
  CHECK(TokensToPrefetch({100, 500, 0, Millis(100)}) == 0);
  CHECK(TokensToPrefetch({0, 500, 0, Millis(100)}) == doctest::Approx(30));
  CHECK(TokensToPrefetch({0, 4, 0, Millis(100)}) == 0);
  CHECK(TokensNeededNow({0.25, 4, 2, Millis(100)}) == doctest::Approx(1.75));
  CHECK(TokensNeededNow({0.25, 4, 0, Millis(100)}) == 0);
}

TEST_CASE(
    "prefetches in proportion to the peers' estimated tokens and requests "
    "urgent tokens from each peer") {
  const std::vector<double> estimated = {30, 10, 0};
  const std::vector<double> requested = SplitBorrowRequest(20, 0, estimated);
  CHECK(requested[0] == doctest::Approx(15));
  CHECK(requested[1] == doctest::Approx(5));
  CHECK(requested[2] == 0);
  for (const double part : SplitBorrowRequest(0, 2, estimated)) {
    CHECK(part == 2);
  }
}

// Guards against lending more tokens than the bucket holds, and against a busy
// lender that lends all its tokens.
TEST_CASE("lends in proportion to demand and never more than it has") {
  CHECK(DecideLoan({100, 50}, 8, 0, 0) == 8);
  CHECK(DecideLoan({3, 50}, 8, 0, 0) == 3);
  CHECK(DecideLoan({100, 50}, 8, 50, 0) == doctest::Approx(4));
  CHECK(DecideLoan({100, 50}, 8, 0, 5) == 3);
  CHECK(DecideLoan({100, 50}, 0.5, 20, 0) == 0.5);
  CHECK(DecideLoan({100, 50}, 0.5, 25, 0) == 0);
  CHECK(DecideLoan({-1, 50}, 8, 0, 0) == 0);
}

TEST_CASE(
    "returns borrowed tokens that the demand will not use before the loan "
    "expires") {
  CHECK(SurplusOfLoan(10, 10, 0, Millis(80), Millis(100)) == 0);
  CHECK(SurplusOfLoan(10, 10, 0, Millis(30), Millis(100)) == 10);
  CHECK(SurplusOfLoan(10, 12, 100, Millis(30), Millis(100)) ==
        doctest::Approx(9));
}

}  // namespace bronzecross
