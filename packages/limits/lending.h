// Decides on loans between VMs: how much to request from which VM, how much to
// lend, and how long a loan may be used.

#ifndef BRONZECROSS_LIMITS_LENDING_H_
#define BRONZECROSS_LIMITS_LENDING_H_

#include <span>
#include <vector>

#include "base/clock.h"

namespace bronzecross {

// A workspace's rate and burst over all VMs.
struct FleetLimit {
  double m_rate_per_s = 0;
  double m_burst = 0;

  bool operator==(const FleetLimit&) const = default;
};

// Returns how long borrowed tokens may be used, counted from the time at which
// the loan was requested.
Millis LoanLifetime(const FleetLimit& limit);

// Returns the total capacity of all buckets. Borrowed tokens are used up to a
// loan's lifetime E after they left a bucket, so a window of w seconds may
// admit what the buckets released in w + E. A capacity of burst - rate x E
// limits that to rate x w + burst.
double FleetCapacity(const FleetLimit& limit);

// Arrivals per second, as an exponentially decaying average.
struct Demand {
  double m_per_s = 0;
  Millis m_updated;
};
// Time constant of the decay.
inline constexpr Millis kDemandTimeConstant{250};

void CountArrival(Demand& demand, Millis now);
double DemandAt(const Demand& demand, Millis now);

struct BorrowNeed {
  double m_available = 0;  // own and borrowed tokens
  double m_demand_per_s = 0;
  int m_waiting = 0;  // requests that wait for a token
  Millis m_lifetime;
};

// Returns how many tokens to borrow ahead for the expected demand of a fraction
// of a loan's lifetime. Returns 0 while half of these are available, so that
// one message fetches a useful amount.
double TokensToPrefetch(const BorrowNeed& need);

// Returns how many tokens are missing for the waiting requests.
double TokensNeededNow(const BorrowNeed& need);

// Returns how much to request from each peer, given the estimated tokens of
// each. `prefetch` is split in proportion to the estimates. `urgent` is
// requested in full from each peer, since estimates may be wrong and surplus is
// returned.
std::vector<double> SplitBorrowRequest(double prefetch,
                                       double urgent,
                                       std::span<const double> estimated);

struct LoanRequest {
  double m_requested = 0;
  double m_borrower_demand_per_s = 0;
};

// Returns how much a VM with `tokens` in its bucket and `own_demand_per_s`
// lends. Scarce tokens are shared in proportion to demand. If less than one
// token would be kept, which serves no request, all tokens are lent to a VM
// with more than twice the demand, and one token is kept otherwise.
double DecideLoan(const LoanRequest& request,
                  double tokens,
                  double own_demand_per_s,
                  int own_waiting);

// Returns how much of a loan of `tokens` to return early, `left` before it
// expires.
double SurplusOfLoan(double tokens,
                     double available,
                     double demand_per_s,
                     Millis left,
                     Millis lifetime);

}  // namespace bronzecross

#endif  // BRONZECROSS_LIMITS_LENDING_H_
