// Decides how VMs share the rate tokens of a workspace. It answers the load of
// callers that reach the VMs unevenly: each VM fills its own part of the
// bucket, and VMs with tokens to spare give some to those that run out.
//
// A token exists at one VM only: who gives it away subtracts it first, and a
// grant that is lost is lost. Each VM holds at most its part of the burst, so
// all VMs together never hold more than the burst.

#ifndef BRONZECROSS_QUOTA_TOKEN_SHARING_H_
#define BRONZECROSS_QUOTA_TOKEN_SHARING_H_

#include <cstdint>
#include <span>
#include <vector>

#include "base/clock.h"

namespace bronzecross {

// The longest advice to come back. Callers honour up to a third of the time
// that they have left, which is about five seconds.
inline constexpr Millis kLongestTokenRetry{1'500};

// What one VM may hold and earn.
struct TokenShare {
  double m_rate_per_s = 0;
  double m_capacity = 0;
};

// The share of one of `members` VMs. A VM that isn't entitled gets none.
TokenShare ShareOf(double rate_per_s, double burst, int members, bool entitled);

// Tokens that a VM expects its callers to ask for until its next news, from
// those asked for since the last ones and the expectation before.
double ExpectedDemand(double before, double asked);

struct PeerLevel {
  uint32_t m_vm = 0;
  uint64_t m_sequence = 0;  // of the news that told of it
  double m_tokens = 0;      // less the requests that wait for one
  double m_demand = 0;      // as ExpectedDemand() gives it
};

struct PlannedGrant {
  PeerLevel m_receiver;
  double m_tokens = 0;
};

// What a VM with `own` tokens gives to its peers, whose levels it heard lately.
// It keeps what its own callers are expected to ask for.
std::vector<PlannedGrant> PlanGrants(double own,
                                     double own_demand,
                                     double capacity,
                                     std::span<const PeerLevel> peers);

// When a refused caller is best back. Callers that were told to come back
// before hold `promised` tokens of this VM's share.
Millis RetryAfterRefusal(const TokenShare& share,
                         double tokens,
                         double promised);

// Whether a VM may use its share. `lease_held`: the key-value service vouches
// for it. Otherwise it needs most members to be heard: the others may take over
// its share only once the service reports its lease as ended, and a VM cut off
// from both sides can't tell.
bool IsEntitled(bool lease_held, int heard, int members);

}  // namespace bronzecross

#endif  // BRONZECROSS_QUOTA_TOKEN_SHARING_H_
