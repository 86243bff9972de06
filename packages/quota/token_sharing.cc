#include "quota/token_sharing.h"

#include <algorithm>

namespace bronzecross {
namespace {

// A VM without demand is filled up to this part of its capacity.
constexpr double kTarget = 0.5;

// Part of a peer's distance from its target that one round of grants corrects.
constexpr double kLevelGain = 0.5;

// Smaller grants aren't worth their bytes, in tokens.
constexpr double kLeastGrant = 0.05;

// A VM that expects fewer requests until its next news counts as idle.
constexpr double kLeastDemand = 0.5;

// What is left of an expectation after one news without demand.
constexpr double kDemandDecay = 0.7;

// The shortest advice to come back.
constexpr Millis kShortestRetry{150};

}  // namespace

TokenShare ShareOf(double rate_per_s,
                   double burst,
                   int members,
                   bool entitled) {
  if (!entitled || members <= 0) {
    return TokenShare();
  }
  TokenShare share;
  share.m_rate_per_s = rate_per_s / members;
  // A request takes a whole token, so a smaller part could never be used.
  share.m_capacity = std::max(burst / members, 1.0);
  return share;
}

namespace {

// Tokens that a peer should get until its next news. What its callers ask for
// counts in full. Its level counts in part only, since it is as old as the
// grants that answered the news before.
double Wanted(const PeerLevel& peer, double capacity) {
  const double wanted =
      peer.m_demand + (capacity * kTarget - peer.m_tokens) * kLevelGain;
  return std::clamp(wanted, 0.0, capacity);
}

bool HasDemand(const PeerLevel& peer) {
  return peer.m_demand >= kLeastDemand || peer.m_tokens < 0;
}

bool HasNoDemand(const PeerLevel& peer) {
  return !HasDemand(peer);
}

// Gives up to `spare` tokens to the peers that `is_meant` holds for. Other VMs
// with tokens do the same, so each gives a part.
void GiveTo(std::span<const PeerLevel> peers,
            bool (*is_meant)(const PeerLevel&),
            double capacity,
            double& spare,
            std::vector<PlannedGrant>& grants) {
  double wanted = 0;
  int givers = 1;
  for (const PeerLevel& peer : peers) {
    wanted += is_meant(peer) ? Wanted(peer, capacity) : 0;
    givers += peer.m_tokens - peer.m_demand > kLeastGrant ? 1 : 0;
  }
  if (wanted <= 0 || spare < kLeastGrant) {
    return;
  }
  const double part = std::min(1.0 / givers, spare / wanted);
  for (const PeerLevel& peer : peers) {
    const double amount =
        is_meant(peer) ? std::min(spare, Wanted(peer, capacity) * part) : 0;
    if (amount >= kLeastGrant) {
      grants.push_back({peer, amount});
      spare -= amount;
    }
  }
}

}  // namespace

double ExpectedDemand(double before, double asked) {
  return std::max(asked, before * kDemandDecay);
}

std::vector<PlannedGrant> PlanGrants(double own,
                                     double own_demand,
                                     double capacity,
                                     std::span<const PeerLevel> peers) {
  std::vector<PlannedGrant> grants;
  double spare = own - own_demand;
  GiveTo(peers, HasDemand, capacity, spare, grants);
  // A VM without callers is filled from what lies above the own target only:
  // otherwise idle VMs would hand all their tokens round.
  spare -= capacity * kTarget;
  GiveTo(peers, HasNoDemand, capacity, spare, grants);
  return grants;
}

Millis RetryAfterRefusal(const TokenShare& share,
                         double tokens,
                         double promised) {
  if (share.m_rate_per_s <= 0) {
    return kLongestTokenRetry;
  }
  const double seconds = (promised + 1 - tokens) / share.m_rate_per_s;
  return std::clamp(Millis(static_cast<int64_t>(seconds * 1000)),
                    kShortestRetry, kLongestTokenRetry);
}

bool IsEntitled(bool lease_held, int heard, int members) {
  return lease_held || 2 * heard > members;
}

}  // namespace bronzecross
