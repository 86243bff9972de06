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
constexpr double kLeastGrant = 0.1;

// Bounds of the advice to come back. Callers honour up to a third of the time
// that they have left, which is about five seconds.
constexpr Millis kShortestRetry{150};
constexpr Millis kLongestRetry{1'500};

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

// Gives `spare` tokens to the receivers for which `wanted` is positive.
// `givers` VMs do so at the same time.
void Distribute(std::span<const PeerLevel> peers,
                double (*wanted)(const PeerLevel&, double),
                double capacity,
                int givers,
                double& spare,
                std::vector<PlannedGrant>& grants) {
  double total = 0;
  for (const PeerLevel& peer : peers) {
    total += std::max(wanted(peer, capacity), 0.0);
  }
  if (total <= 0 || spare < kLeastGrant) {
    return;
  }
  const double part = std::min(1.0 / givers, spare / total);
  for (const PeerLevel& peer : peers) {
    const double amount =
        std::min(spare, std::max(wanted(peer, capacity), 0.0) * part);
    if (amount >= kLeastGrant) {
      grants.push_back({peer, amount});
      spare -= amount;
    }
  }
}

double WantedForWaiting(const PeerLevel& peer, double) {
  // One token more than wait, for those that arrive before the grant.
  return peer.m_tokens < 0 ? 1 - peer.m_tokens : 0;
}

double WantedForReserve(const PeerLevel& peer, double capacity) {
  const bool is_needy =
      peer.m_tokens >= 0 && peer.m_tokens < capacity * kNeedyBelow;
  return is_needy ? capacity * kFillTo - peer.m_tokens : 0;
}

int CountAbove(std::span<const PeerLevel> peers, double level) {
  return static_cast<int>(std::count_if(
      peers.begin(), peers.end(),
      [level](const PeerLevel& peer) { return peer.m_tokens > level; }));
}

}  // namespace

std::vector<PlannedGrant> PlanGrants(double own,
                                     double capacity,
                                     std::span<const PeerLevel> peers) {
  std::vector<PlannedGrant> grants;
  double spare = own;
  Distribute(peers, WantedForWaiting, capacity,
             1 + CountAbove(peers, kLeastGrant), spare, grants);
  spare -= capacity * kSpareAbove;
  Distribute(peers, WantedForReserve, capacity,
             1 + CountAbove(peers, capacity * kSpareAbove), spare, grants);
  return grants;
}

Millis RetryAfterRefusal(const TokenShare& share,
                         double tokens,
                         double promised) {
  if (share.m_rate_per_s <= 0) {
    return kLongestRetry;
  }
  const double seconds = (promised + 1 - tokens) / share.m_rate_per_s;
  return std::clamp(Millis(static_cast<int64_t>(seconds * 1000)),
                    kShortestRetry, kLongestRetry);
}

bool IsEntitled(bool lease_held, int heard, int members) {
  return lease_held || 2 * heard > members;
}

}  // namespace bronzecross
