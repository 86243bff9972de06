#include "limits/lending.h"

#include <algorithm>
#include <cmath>

namespace bronzecross {
namespace {

constexpr Millis kMaxLoanLifetime{100};
// A shorter loan could expire during the scheduling delays of a busy machine.
constexpr Millis kMinLoanLifetime{10};
constexpr double kLoanFractionOfBurst = 0.1;
constexpr double kMaxLoanFractionOfBurst = 0.25;
// Fraction of a loan's lifetime for which tokens are borrowed ahead.
constexpr double kPrefetchFraction = 0.6;
// Surplus tokens are returned once less than this fraction of a loan's lifetime
// is left.
constexpr double kReturnFraction = 0.4;

}  // namespace

Millis LoanLifetime(const FleetLimit& limit) {
  if (limit.m_rate_per_s <= 0) {
    return kMaxLoanLifetime;
  }
  const double burst_ms = limit.m_burst / limit.m_rate_per_s * 1000.0;
  const Millis preferred(
      static_cast<int64_t>(std::min(1e6, burst_ms * kLoanFractionOfBurst)));
  const Millis largest(
      static_cast<int64_t>(std::min(1e6, burst_ms * kMaxLoanFractionOfBurst)));
  return std::min(
      {kMaxLoanLifetime, std::max(preferred, kMinLoanLifetime), largest});
}

double FleetCapacity(const FleetLimit& limit) {
  return std::max(
      0.0, limit.m_burst - limit.m_rate_per_s * LoanLifetime(limit).Seconds());
}

double DemandAt(const Demand& demand, Millis now) {
  const Millis passed = std::max(now - demand.m_updated, Millis(0));
  return demand.m_per_s *
         std::exp(-passed.Seconds() / kDemandTimeConstant.Seconds());
}

void CountArrival(Demand& demand, Millis now) {
  demand.m_per_s = DemandAt(demand, now) + 1.0 / kDemandTimeConstant.Seconds();
  demand.m_updated = std::max(now, demand.m_updated);
}

double TokensToPrefetch(const BorrowNeed& need) {
  const double horizon =
      need.m_demand_per_s * need.m_lifetime.Seconds() * kPrefetchFraction;
  // With less demand than one request per horizon, requests wait for a loan.
  if (horizon < 1 || need.m_available >= horizon / 2) {
    return 0;
  }
  return horizon - need.m_available;
}

double TokensNeededNow(const BorrowNeed& need) {
  return need.m_waiting == 0 ? 0
                             : std::max(0.0, need.m_waiting - need.m_available);
}

std::vector<double> SplitBorrowRequest(double prefetch,
                                       double urgent,
                                       std::span<const double> estimated) {
  double total = 0;
  for (const double tokens : estimated) {
    total += tokens;
  }
  std::vector<double> requested;
  for (const double tokens : estimated) {
    const double part = total > 0 ? prefetch * tokens / total : 0;
    requested.push_back(std::max(part, urgent));
  }
  return requested;
}

double DecideLoan(const LoanRequest& request,
                  double tokens,
                  double own_demand_per_s,
                  int own_waiting) {
  const double demand = own_demand_per_s + request.m_borrower_demand_per_s;
  double kept = demand > 0 ? tokens * own_demand_per_s / demand : 0;
  kept = std::max(kept, static_cast<double>(own_waiting));
  if (kept < 1) {
    // VMs with similar demand that lent each other their last fractions of a
    // token would never hold a whole one: at 20/s on 3 VMs nothing was
    // admitted.
    kept = own_demand_per_s * 2 >= request.m_borrower_demand_per_s &&
                   own_demand_per_s > 0
               ? 1
               : 0;
  }
  return std::clamp(tokens - kept, 0.0, std::max(0.0, request.m_requested));
}

double SurplusOfLoan(double tokens,
                     double available,
                     double demand_per_s,
                     Millis left,
                     Millis lifetime) {
  if (left.Seconds() > lifetime.Seconds() * kReturnFraction) {
    return 0;
  }
  const double needed = demand_per_s * left.Seconds();
  return std::clamp(available - needed, 0.0, tokens);
}

}  // namespace bronzecross
