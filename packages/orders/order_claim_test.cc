#include "orders/order_claim.h"

#include <array>

#include <doctest/doctest.h>

namespace bronzecross {
namespace {

constexpr Millis kTimeout{1000};

ClaimInputs DeadHolder(Millis gone_since) {
  ClaimInputs inputs;
  inputs.m_exists = true;
  inputs.m_is_first = true;
  inputs.m_gone_since = gone_since;
  return inputs;
}

}  // namespace

// Guards against two VMs that order on one upstream at the same time.
TEST_CASE(
    "a living holder is never replaced, a dead one after its last order") {
  ClaimInputs living = DeadHolder(Millis(0));
  living.m_holder_has_lease = true;
  CHECK(DecideClaim(living, kTimeout, Millis(100'000)) ==
        ClaimDecision::kNotMine);
  CHECK(DecideClaim(DeadHolder(Millis(500)), kTimeout, Millis(1499)) ==
        ClaimDecision::kWait);
  CHECK(DecideClaim(DeadHolder(Millis(500)), kTimeout, Millis(1500)) ==
        ClaimDecision::kClaim);
}

TEST_CASE("only the first live VM claims a free record") {
  ClaimInputs free;
  CHECK(DecideClaim(free, kTimeout, Millis(0)) == ClaimDecision::kNotMine);
  free.m_is_first = true;
  CHECK(DecideClaim(free, kTimeout, Millis(0)) == ClaimDecision::kClaim);
}

// Guards against a holder that was paused until its lease lapsed and goes on
// under a new lease as if nothing had happened: it may claim only like others.
TEST_CASE("a holder under a new lease waits and claims again") {
  ClaimInputs woken = DeadHolder(Millis(500));
  CHECK(DecideClaim(woken, kTimeout, Millis(1000)) == ClaimDecision::kWait);
  CHECK(DecideClaim(woken, kTimeout, Millis(1500)) == ClaimDecision::kClaim);
}

TEST_CASE("no order is sent that could outlive the lease") {
  CHECK(MaySendOrder(Millis(5000), kTimeout, Millis(3999)));
  CHECK_FALSE(MaySendOrder(Millis(5000), kTimeout, Millis(4000)));
}

TEST_CASE("the new half waits until the old one has followed or is gone") {
  std::array<OtherHalf, 1> others = {};
  others[0].m_followed_generation = 4;
  others[0].m_holder_has_lease = true;
  CHECK_FALSE(HaveOthersLetGo(others, 5, kTimeout, Millis(100'000)));
  CHECK(HaveOthersLetGo(others, 4, kTimeout, Millis(100'000)));
  others[0].m_holder_has_lease = false;
  others[0].m_gone_since = Millis(99'500);
  CHECK_FALSE(HaveOthersLetGo(others, 5, kTimeout, Millis(100'000)));
  CHECK(HaveOthersLetGo(others, 5, kTimeout, Millis(100'500)));
}

}  // namespace bronzecross
