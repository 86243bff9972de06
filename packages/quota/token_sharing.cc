#include "quota/token_sharing.h"

#include <algorithm>

namespace bronzecross {
namespace {

// A VM below this part of its capacity is given tokens.
constexpr double kNeedyBelow = 0.5;

// A VM gives only what it has above this part of its capacity.
constexpr double kSpareAbove = 0.5;

// A receiver is filled up to this part of its capacity. Beyond it a grant could
// overflow and be lost.
constexpr double kFillTo = 0.9;

// Smaller grants aren't worth a message, in tokens.
constexpr double kLeastGrant = 0.25;

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

std::vector<PlannedGrant> PlanGrants(double own,
                                     double capacity,
                                     std::span<const PeerLevel> peers) {
  double spare = own - capacity * kSpareAbove;
  std::vector<PlannedGrant> grants;
  if (spare < kLeastGrant) {
    return grants;
  }
  int givers = 1;
  double wanted = 0;
  for (const PeerLevel& peer : peers) {
    if (peer.m_tokens > capacity * kSpareAbove) {
      ++givers;
    } else if (peer.m_tokens < capacity * kNeedyBelow) {
      wanted += capacity * kFillTo - peer.m_tokens;
    }
  }
  if (wanted <= 0) {
    return grants;
  }
  const double part = std::min(1.0 / givers, spare / wanted);
  for (const PeerLevel& peer : peers) {
    if (peer.m_tokens >= capacity * kNeedyBelow) {
      continue;
    }
    const double amount =
        std::min(spare, (capacity * kFillTo - peer.m_tokens) * part);
    if (amount >= kLeastGrant) {
      grants.push_back({peer.m_vm, amount});
      spare -= amount;
    }
  }
  return grants;
}

bool IsEntitled(bool lease_held, int heard, int members) {
  return lease_held || 2 * heard > members;
}

}  // namespace bronzecross
