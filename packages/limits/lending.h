// Decisions on borrowing between VMs: how much to ask of whom, how much to
// lend, and for how long a loan may be used.

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

// How long borrowed tokens may be used, from the sending of the request.
Millis LoanLifetime(const FleetLimit& limit);

// Capacity of all buckets together. Borrowed tokens are used up to a loan's
// lifetime E after they left a bucket, so a window of w seconds sees what the
// buckets gave in w + E; capacity burst - rate x E keeps that at rate x w +
// burst.
double FleetCapacity(const FleetLimit& limit);

// Arrivals per second, averaged over about kDemandMemory.
struct Demand {
  double m_per_s = 0;
  Millis m_updated;
};
inline constexpr Millis kDemandMemory{250};

void CountArrival(Demand& demand, Millis now);
double DemandAt(const Demand& demand, Millis now);

struct BorrowNeed {
  double m_available = 0;  // own and borrowed tokens
  double m_demand_per_s = 0;
  int m_waiting = 0;  // requests that wait for a token
  Millis m_lifetime;
};

// Tokens to have at hand for the demand to come, and what is missing: nothing
// while half of it is there, so that one message fetches a useful amount.
double AheadWant(const BorrowNeed& need);

// Tokens that waiting requests lack now.
double UrgentWant(const BorrowNeed& need);

// What to ask of each peer, by the tokens it is believed to have. The ahead
// part is split in proportion; the urgent part is asked of each, since beliefs
// may be wrong and what is not needed goes back.
std::vector<double> SplitWant(double ahead,
                              double urgent,
                              std::span<const double> believed);

struct LoanRequest {
  double m_asked = 0;
  double m_borrower_demand_per_s = 0;
};

// What a VM with `tokens` in its bucket and `own_demand_per_s` lends. Scarce
// tokens are shared in proportion to demand; a rest below one token serves no
// request here and is lent whole.
double DecideLoan(const LoanRequest& request,
                  double tokens,
                  double own_demand_per_s,
                  int own_waiting);

// The part of a loan of `tokens` that goes back early, `left` before its end.
double SurplusOfLoan(double tokens,
                     double available,
                     double demand_per_s,
                     Millis left,
                     Millis lifetime);

}  // namespace bronzecross

#endif  // BRONZECROSS_LIMITS_LENDING_H_
