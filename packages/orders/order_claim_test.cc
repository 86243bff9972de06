#include "orders/order_claim.h"

#include <array>

#include <doctest/doctest.h>

namespace bronzecross {
namespace {

constexpr Millis kTimeout{1000};

ClaimInputs HolderWithoutLease(Millis lease_lost_since) {
  ClaimInputs inputs;
  inputs.m_exists = true;
  inputs.m_is_first = true;
  inputs.m_lease_lost_since = lease_lost_since;
  return inputs;
}

}  // namespace

// Guards against two VMs that send orders to one upstream at the same time.
TEST_CASE(
    "a holder with a lease is never replaced, one without it is replaced after "
    "the order timeout") {
  ClaimInputs with_lease = HolderWithoutLease(Millis(0));
  with_lease.m_holder_has_lease = true;
  CHECK(DecideClaim(with_lease, kTimeout, Millis(100'000)) ==
        ClaimDecision::kNotHolder);
  CHECK(DecideClaim(HolderWithoutLease(Millis(500)), kTimeout, Millis(1499)) ==
        ClaimDecision::kWait);
  CHECK(DecideClaim(HolderWithoutLease(Millis(500)), kTimeout, Millis(1500)) ==
        ClaimDecision::kClaim);
}

TEST_CASE("only the first live VM claims a missing record") {
  ClaimInputs unclaimed;
  CHECK(DecideClaim(unclaimed, kTimeout, Millis(0)) ==
        ClaimDecision::kNotHolder);
  unclaimed.m_is_first = true;
  CHECK(DecideClaim(unclaimed, kTimeout, Millis(0)) == ClaimDecision::kClaim);
}

// Guards against a holder that was paused until its lease ended and then sends
// orders under a new lease. It must claim the record as any other VM does.
TEST_CASE(
    "a former holder with a new lease waits and claims the record again") {
  ClaimInputs resumed = HolderWithoutLease(Millis(500));
  CHECK(DecideClaim(resumed, kTimeout, Millis(1000)) == ClaimDecision::kWait);
  CHECK(DecideClaim(resumed, kTimeout, Millis(1500)) == ClaimDecision::kClaim);
}

TEST_CASE("no order is sent that could end after the lease") {
  CHECK(MaySendOrder(Millis(5000), kTimeout, Millis(3999)));
  CHECK_FALSE(MaySendOrder(Millis(5000), kTimeout, Millis(4000)));
}

TEST_CASE(
    "a half waits until the others have applied the generation or lost their "
    "leases") {
  std::array<OtherHalf, 1> others = {};
  others[0].m_applied_generation = 4;
  others[0].m_holder_has_lease = true;
  CHECK_FALSE(HaveOthersReleased(others, 5, kTimeout, Millis(100'000)));
  CHECK(HaveOthersReleased(others, 4, kTimeout, Millis(100'000)));
  others[0].m_holder_has_lease = false;
  others[0].m_lease_lost_since = Millis(99'500);
  CHECK_FALSE(HaveOthersReleased(others, 5, kTimeout, Millis(100'000)));
  CHECK(HaveOthersReleased(others, 5, kTimeout, Millis(100'500)));
}

}  // namespace bronzecross
