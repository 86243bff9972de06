// Decides how VMs share the rate tokens of a workspace. Callers may reach the
// VMs unevenly: each VM refills its own share of the bucket, and VMs with spare
// tokens grant some to those that run out.
//
// A token exists at one VM only: the granting VM subtracts it before it sends
// the grant, and the tokens of a grant that gets lost are gone. Each VM holds
// at most its share of the burst, so all VMs together never hold more than the
// burst.

#ifndef BRONZECROSS_QUOTA_TOKEN_SHARING_H_
#define BRONZECROSS_QUOTA_TOKEN_SHARING_H_

#include <cstdint>
#include <span>
#include <vector>

#include "base/clock.h"

namespace bronzecross {

// Maximum retry-after time. Callers honour up to a third of the time that they
// have left, which is about 5 s.
inline constexpr Millis kMaxTokenRetryAfter{1'500};

// Refill rate and bucket capacity of one VM.
struct TokenShare {
  double m_rate_per_s = 0;
  double m_capacity = 0;
};

// Returns the share of one of `members` VMs, or an empty share unless
// `is_active`.
TokenShare ShareOf(double rate_per_s,
                   double burst,
                   int members,
                   bool is_active);

// Returns the number of tokens that a VM expects its callers to request until
// its next gossip message. `requested` is the number requested since the last
// one, and `previous` the previous expectation.
double ExpectedDemand(double previous, double requested);

struct PeerLevel {
  uint32_t m_vm = 0;
  uint64_t m_sequence = 0;  // of the gossip message that reported it
  double m_tokens = 0;      // less the number of requests that wait for one
  double m_demand = 0;      // as returned by ExpectedDemand()
};

struct PlannedGrant {
  PeerLevel m_receiver;
  double m_tokens = 0;
};

// Returns the grants of a VM with `own` tokens to its recently seen peers. It
// keeps the tokens that its own callers are expected to request.
std::vector<PlannedGrant> PlanGrants(double own,
                                     double own_demand,
                                     double capacity,
                                     std::span<const PeerLevel> peers);

// Returns the retry-after time for a rejected caller. `pending_retries` earlier
// rejected callers are expected to take one token of this VM's share each.
Millis RetryAfterRejection(const TokenShare& share,
                           double tokens,
                           double pending_retries);

// Whether a VM may use its share. It may while its lease in the key-value store
// is held. Otherwise it must have recently seen a majority of the members:
// the others may take over its share once the store reports that its lease has
// ended, and a VM that reaches neither the store nor the others can't detect
// that.
bool IsShareActive(bool lease_held, int recently_seen, int members);

}  // namespace bronzecross

#endif  // BRONZECROSS_QUOTA_TOKEN_SHARING_H_
