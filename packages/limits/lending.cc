#include "limits/lending.h"

#include <algorithm>
#include <cmath>

namespace bronzecross {
namespace {

constexpr Millis kLongestLoan{100};
// Below this a loan does not outlive a busy machine's scheduling delays.
constexpr Millis kShortestLoan{10};
constexpr double kLoanShareOfBurst = 0.1;
constexpr double kLargestShareOfBurst = 0.25;
// Share of a loan's lifetime that is borrowed ahead.
constexpr double kHorizonShare = 0.6;
// Share of a loan's lifetime after which what is left over goes back.
constexpr double kReturnShare = 0.4;

}  // namespace

Millis LoanLifetime(const FleetLimit& limit) {
  if (limit.m_rate_per_s <= 0) {
    return kLongestLoan;
  }
  const double burst_ms = limit.m_burst / limit.m_rate_per_s * 1000.0;
  const Millis preferred(
      static_cast<int64_t>(std::min(1e6, burst_ms * kLoanShareOfBurst)));
  const Millis largest(
      static_cast<int64_t>(std::min(1e6, burst_ms * kLargestShareOfBurst)));
  return std::min({kLongestLoan, std::max(preferred, kShortestLoan), largest});
}

double FleetCapacity(const FleetLimit& limit) {
  return std::max(
      0.0, limit.m_burst - limit.m_rate_per_s * LoanLifetime(limit).Seconds());
}

double DemandAt(const Demand& demand, Millis now) {
  const Millis passed = std::max(now - demand.m_updated, Millis(0));
  return demand.m_per_s * std::exp(-passed.Seconds() / kDemandMemory.Seconds());
}

void CountArrival(Demand& demand, Millis now) {
  demand.m_per_s = DemandAt(demand, now) + 1.0 / kDemandMemory.Seconds();
  demand.m_updated = std::max(now, demand.m_updated);
}

double AheadWant(const BorrowNeed& need) {
  const double horizon =
      need.m_demand_per_s * need.m_lifetime.Seconds() * kHorizonShare;
  // Demand below one request per horizon is served by waiting for a loan.
  if (horizon < 1 || need.m_available >= horizon / 2) {
    return 0;
  }
  return horizon - need.m_available;
}

double UrgentWant(const BorrowNeed& need) {
  return need.m_waiting == 0 ? 0
                             : std::max(0.0, need.m_waiting - need.m_available);
}

std::vector<double> SplitWant(double ahead,
                              double urgent,
                              std::span<const double> believed) {
  double total = 0;
  for (const double tokens : believed) {
    total += tokens;
  }
  std::vector<double> asked;
  for (const double tokens : believed) {
    const double part = total > 0 ? ahead * tokens / total : 0;
    asked.push_back(std::max(part, urgent));
  }
  return asked;
}

double DecideLoan(const LoanRequest& request,
                  double tokens,
                  double own_demand_per_s,
                  int own_waiting) {
  const double demand = own_demand_per_s + request.m_borrower_demand_per_s;
  double kept = demand > 0 ? tokens * own_demand_per_s / demand : 0;
  kept = std::max(kept, static_cast<double>(own_waiting));
  if (kept < 1) {
    kept = 0;
  }
  return std::clamp(tokens - kept, 0.0, std::max(0.0, request.m_asked));
}

double SurplusOfLoan(double tokens,
                     double available,
                     double demand_per_s,
                     Millis left,
                     Millis lifetime) {
  if (left.Seconds() > lifetime.Seconds() * kReturnShare) {
    return 0;
  }
  const double needed = demand_per_s * left.Seconds();
  return std::clamp(available - needed, 0.0, tokens);
}

}  // namespace bronzecross
