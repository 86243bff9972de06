#include "quota/token_sharing.h"

#include <algorithm>

namespace bronzecross {
namespace {

// Fraction of its capacity up to which a VM without demand is filled.
constexpr double kTargetFill = 0.5;

// Fraction of a peer's distance from its target that one round of grants
// corrects.
constexpr double kLevelGain = 0.5;

// Minimum grant in tokens. Smaller ones aren't worth their bytes in a message.
constexpr double kMinGrant = 0.05;

// A VM that expects fewer requests until its next gossip message is idle.
constexpr double kMinDemand = 0.5;

// Factor by which an expectation decays with each gossip message if there is no
// demand.
constexpr double kDemandDecay = 0.7;

// Minimum retry-after time.
constexpr Millis kMinTokenRetryAfter{150};

}  // namespace

TokenShare ShareOf(double rate_per_s,
                   double burst,
                   int members,
                   bool is_active) {
  if (!is_active || members <= 0) {
    return TokenShare();
  }
  TokenShare share;
  share.m_rate_per_s = rate_per_s / members;
  // A request takes a whole token, so a smaller capacity could never be used.
  share.m_capacity = std::max(burst / members, 1.0);
  return share;
}

namespace {

// Returns the number of tokens that a peer should receive until its next gossip
// message. The demand of its callers counts in full. Its level is weighted by
// kLevelGain, since it may not include the grants made in response to the
// previous message yet.
double WantedTokens(const PeerLevel& peer, double capacity) {
  const double wanted =
      peer.m_demand + (capacity * kTargetFill - peer.m_tokens) * kLevelGain;
  return std::clamp(wanted, 0.0, capacity);
}

bool HasDemand(const PeerLevel& peer) {
  return peer.m_demand >= kMinDemand || peer.m_tokens < 0;
}

bool HasNoDemand(const PeerLevel& peer) {
  return !HasDemand(peer);
}

// Grants up to `spare` tokens to the peers that satisfy `is_receiver`. Other
// VMs with spare tokens do the same, so each grants a fraction of what is
// wanted.
void GrantTokens(std::span<const PeerLevel> peers,
                 bool (*is_receiver)(const PeerLevel&),
                 double capacity,
                 double& spare,
                 std::vector<PlannedGrant>& grants) {
  double wanted = 0;
  int grantors = 1;
  for (const PeerLevel& peer : peers) {
    wanted += is_receiver(peer) ? WantedTokens(peer, capacity) : 0;
    grantors += peer.m_tokens - peer.m_demand > kMinGrant ? 1 : 0;
  }
  if (wanted <= 0 || spare < kMinGrant) {
    return;
  }
  const double part = std::min(1.0 / grantors, spare / wanted);
  for (const PeerLevel& peer : peers) {
    const double amount =
        is_receiver(peer) ? std::min(spare, WantedTokens(peer, capacity) * part)
                          : 0;
    if (amount >= kMinGrant) {
      grants.push_back({peer, amount});
      spare -= amount;
    }
  }
}

}  // namespace

double ExpectedDemand(double previous, double requested) {
  return std::max(requested, previous * kDemandDecay);
}

std::vector<PlannedGrant> PlanGrants(double own,
                                     double own_demand,
                                     double capacity,
                                     std::span<const PeerLevel> peers) {
  std::vector<PlannedGrant> grants;
  double spare = own - own_demand;
  GrantTokens(peers, HasDemand, capacity, spare, grants);
  // Peers without demand receive only tokens above this VM's own target.
  // Otherwise idle VMs would keep passing all their tokens to each other.
  spare -= capacity * kTargetFill;
  GrantTokens(peers, HasNoDemand, capacity, spare, grants);
  return grants;
}

Millis RetryAfterRejection(const TokenShare& share,
                           double tokens,
                           double pending_retries) {
  if (share.m_rate_per_s <= 0) {
    return kMaxTokenRetryAfter;
  }
  const double seconds = (pending_retries + 1 - tokens) / share.m_rate_per_s;
  return std::clamp(Millis(static_cast<int64_t>(seconds * 1000)),
                    kMinTokenRetryAfter, kMaxTokenRetryAfter);
}

bool IsShareActive(bool lease_held, int recently_seen, int members) {
  return lease_held || 2 * recently_seen > members;
}

}  // namespace bronzecross
