#include <doctest/doctest.h>

#include <algorithm>
#include <deque>

#include "base/random.h"
#include "quota/token_sharing.h"

namespace bronzecross {
namespace {

TEST_CASE("the shares of all VMs add up to the whole limit") {
  for (int members = 1; members <= 16; ++members) {
    const TokenShare share = ShareOf(64, 64, members, true);
    CHECK(share.m_rate_per_s * members == doctest::Approx(64));
    CHECK(share.m_capacity * members == doctest::Approx(64));
  }
  CHECK(ShareOf(64, 64, 4, false).m_capacity == 0);
}

TEST_CASE(
    "a VM that reaches neither the store nor a majority stops using its "
    "share") {
  CHECK(IsShareActive(true, 1, 8));
  CHECK(IsShareActive(false, 5, 8));
  CHECK_FALSE(IsShareActive(false, 4, 8));
}

TEST_CASE("grants never exceed the tokens of the granting VM") {
  Random random(3);
  for (int round = 0; round < 2'000; ++round) {
    const double capacity = 1 + RandomUnit(random) * 20;
    const double own = RandomUnit(random) * capacity;
    std::vector<PeerLevel> peers;
    for (uint32_t i = 0; i < 8; ++i) {
      peers.push_back({i, 1, RandomUnit(random) * capacity * 1.5 - 4,
                       RandomUnit(random) * 5});
    }
    double granted = 0;
    for (const PlannedGrant& grant :
         PlanGrants(own, RandomUnit(random), capacity, peers)) {
      CHECK(grant.m_tokens > 0);
      granted += grant.m_tokens;
    }
    CHECK(granted <= own + 1e-9);
  }
}

TEST_CASE("spare tokens go to peers with demand") {
  const std::vector<PeerLevel> peers = {{1, 1, -1, 4}, {2, 1, 5, 0}};
  const std::vector<PlannedGrant> grants = PlanGrants(1.5, 0, 8, peers);
  REQUIRE(grants.size() == 1);
  CHECK(grants[0].m_receiver.m_vm == 1);
  CHECK(PlanGrants(1.5, 2, 8, peers).empty());
}

// Guards against idle VMs that pass all their tokens to each other and report
// empty buckets in between, so that a request finds an empty bucket (run
// trouble-2 of cbes-gtd, 0.2 s after the start).
TEST_CASE("idle VMs keep their tokens") {
  constexpr uint32_t kVms = 6;
  const TokenShare share = ShareOf(19, 19, kVms, true);
  std::vector<PeerLevel> levels;
  for (uint32_t vm = 0; vm < kVms; ++vm) {
    levels.push_back({vm, 1, 0, 0});
  }
  for (int round = 0; round < 100; ++round) {
    std::vector<double> received(kVms, 0);
    std::vector<PeerLevel> next = levels;
    for (uint32_t vm = 0; vm < kVms; ++vm) {
      next[vm].m_tokens = std::min(
          share.m_capacity, levels[vm].m_tokens + share.m_rate_per_s / 10);
      std::vector<PeerLevel> peers = levels;
      peers.erase(peers.begin() + vm);
      for (const PlannedGrant& grant :
           PlanGrants(next[vm].m_tokens, 0, share.m_capacity, peers)) {
        next[vm].m_tokens -= grant.m_tokens;
        received[grant.m_receiver.m_vm] += grant.m_tokens;
      }
    }
    for (uint32_t vm = 0; vm < kVms; ++vm) {
      CHECK(received[vm] < 0.5);
      next[vm].m_tokens =
          std::min(share.m_capacity, next[vm].m_tokens + received[vm]);
    }
    levels = next;
  }
  for (const PeerLevel& level : levels) {
    CHECK(level.m_tokens == doctest::Approx(share.m_capacity));
  }
}

TEST_CASE("retries of rejected callers are spread over the time of refilling") {
  const TokenShare share{10, 5};
  const Millis first = RetryAfterRejection(share, 0, 0);
  const Millis later = RetryAfterRejection(share, 0, 8);
  CHECK(first < later);
  CHECK(RetryAfterRejection(share, 0, 1'000) <= Millis(1'500));
  CHECK(RetryAfterRejection(TokenShare(), 0, 0) > Millis());
}

// Simulates a load in which the callers of one workspace reach only one VM of
// eight. Checks how many requests are admitted, and that no window exceeds rate
// and burst.
TEST_CASE(
    "callers that reach only one VM get over 90% of the rate and never more "
    "than rate and burst") {
  constexpr int kVms = 8;
  constexpr double kRate = 40;
  constexpr double kBurst = 40;
  constexpr int kStepMs = 10;
  constexpr int kRequestMs = 20;  // 50 requests a second
  constexpr int kGossipMs = 100;
  constexpr int kWindowMs = 5'000;
  constexpr int kLengthMs = 30'000;
  const TokenShare share = ShareOf(kRate, kBurst, kVms, true);
  std::vector<double> tokens(kVms, share.m_capacity);
  // The levels that each VM knows of the others, one gossip interval old.
  std::vector<PeerLevel> known_levels;
  for (uint32_t vm = 0; vm < kVms; ++vm) {
    known_levels.push_back({vm, 1, share.m_capacity, 0});
  }
  std::deque<int> admitted;
  int total = 0;
  double requested = 0;  // at VM 0 since its last gossip message
  double demand = 0;     // at VM 0
  for (int now = 0; now < kLengthMs; now += kStepMs) {
    for (double& level : tokens) {
      level = std::min(share.m_capacity,
                       level + share.m_rate_per_s * kStepMs / 1000);
    }
    if (now % kRequestMs == 0) {
      requested += 1;
      if (tokens[0] >= 1) {
        tokens[0] -= 1;
        admitted.push_back(now);
        ++total;
      }
    }
    if (now % kGossipMs == 0) {
      demand = ExpectedDemand(demand, requested);
      requested = 0;
      std::vector<double> received(kVms, 0);
      for (uint32_t grantor = 0; grantor < kVms; ++grantor) {
        std::vector<PeerLevel> peers = known_levels;
        peers.erase(peers.begin() + grantor);
        for (const PlannedGrant& grant :
             PlanGrants(tokens[grantor], grantor == 0 ? demand : 0,
                        share.m_capacity, peers)) {
          tokens[grantor] -= grant.m_tokens;
          received[grant.m_receiver.m_vm] += grant.m_tokens;
        }
      }
      for (uint32_t vm = 0; vm < kVms; ++vm) {
        known_levels[vm].m_tokens = tokens[vm];
        known_levels[vm].m_demand = vm == 0 ? demand : 0;
        tokens[vm] = std::min(share.m_capacity, tokens[vm] + received[vm]);
      }
    }
    while (!admitted.empty() && admitted.front() <= now - kWindowMs) {
      admitted.pop_front();
    }
    CHECK(static_cast<double>(admitted.size()) <=
          kRate * kWindowMs / 1000 + kBurst);
  }
  CHECK(total > 0.9 * kRate * kLengthMs / 1000);
  CHECK(total <= kRate * kLengthMs / 1000 + kBurst);
}

}  // namespace
}  // namespace bronzecross
