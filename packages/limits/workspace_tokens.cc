#include "limits/workspace_tokens.h"

#include <algorithm>

namespace bronzecross {
namespace {

// A sum of fractions may be slightly below a whole token due to rounding. A
// request therefore takes this much less than a token, which changes the limit
// of a window by less than one request in 10^8.
constexpr double kRoundingTolerance = 1e-9;
// Smaller amounts are not lent or returned.
constexpr double kMinLoan = 0.01;

// Time for which a lender keeps the reservation of a loan after it expires.
constexpr Millis kReturnGrace{100};

bool AreOwnSlotsUsable(const WorkspaceTokens& tokens, Millis now) {
  return now < tokens.m_slots.m_usable_until;
}

}  // namespace

void UpdateTokens(WorkspaceTokens& tokens,
                  const FleetLimit& limit,
                  const SlotShare& slots,
                  Millis now) {
  if (slots.m_since != tokens.m_slots.m_since) {
    // Another holder may have used these slots in between.
    tokens.m_bucket = TokenBucket{0, now};
    tokens.m_lent.clear();
  }
  // A higher rate or a larger share doesn't apply to the time before the
  // change.
  const double rate =
      std::min(limit.m_rate_per_s, tokens.m_limit.m_rate_per_s) *
      std::min(slots.m_share, tokens.m_slots.m_share);
  if (limit != tokens.m_limit) {
    tokens.m_loans.clear();
  }
  tokens.m_limit = limit;
  tokens.m_slots = slots;
  Refill(tokens.m_bucket, rate, FleetCapacity(limit) * slots.m_share, now);
  std::erase_if(tokens.m_loans, [now](const Loan& loan) {
    return now >= loan.m_expires || loan.m_tokens <= 0;
  });
  while (!tokens.m_lent.empty() && now >= tokens.m_lent.front().second) {
    SpendReserved(tokens.m_bucket, tokens.m_lent.front().first);
    tokens.m_lent.pop_front();
  }
}

double AvailableTokens(const WorkspaceTokens& tokens, Millis now) {
  double available =
      AreOwnSlotsUsable(tokens, now) ? tokens.m_bucket.m_tokens : 0;
  for (const Loan& loan : tokens.m_loans) {
    available += now < loan.m_expires ? loan.m_tokens : 0;
  }
  return available;
}

std::optional<TakenToken> TakeToken(WorkspaceTokens& tokens,
                                    uint64_t id,
                                    Millis now) {
  double missing = 1 - kRoundingTolerance;
  if (AvailableTokens(tokens, now) < missing) {
    return std::nullopt;
  }
  TakenToken taken;
  taken.m_id = id;
  taken.m_limit = tokens.m_limit;
  taken.m_valid_until = Millis(INT64_MAX);
  for (Loan& loan : tokens.m_loans) {
    if (missing <= 0 || now >= loan.m_expires) {
      continue;
    }
    const double part = std::min(loan.m_tokens, missing);
    taken.m_borrowed.push_back(loan);
    taken.m_borrowed.back().m_tokens = part;
    taken.m_valid_until = std::min(taken.m_valid_until, loan.m_expires);
    loan.m_tokens -= part;
    missing -= part;
  }
  if (missing > 0) {
    taken.m_own = std::min(missing, tokens.m_bucket.m_tokens);
    taken.m_valid_until =
        std::min(taken.m_valid_until, tokens.m_slots.m_usable_until);
    ReserveTokens(tokens.m_bucket, id, taken.m_own);
  }
  return taken;
}

void GiveBackToken(WorkspaceTokens& tokens, const TakenToken& taken) {
  GiveBackTokens(tokens.m_bucket, taken.m_id, taken.m_own);
  // Expired parts are dropped by the next UpdateTokens().
  if (taken.m_limit == tokens.m_limit) {
    tokens.m_loans.insert(tokens.m_loans.begin(), taken.m_borrowed.begin(),
                          taken.m_borrowed.end());
  }
}

void SpendToken(WorkspaceTokens& tokens, const TakenToken& taken) {
  SpendReserved(tokens.m_bucket, taken.m_id);
}

double LendTokens(WorkspaceTokens& tokens,
                  uint64_t id,
                  const LoanRequest& request,
                  Millis now) {
  if (!AreOwnSlotsUsable(tokens, now)) {
    return 0;
  }
  const double amount =
      DecideLoan(request, tokens.m_bucket.m_tokens,
                 DemandAt(tokens.m_demand, now), tokens.m_waiting);
  if (amount < kMinLoan) {
    return 0;
  }
  ReserveTokens(tokens.m_bucket, id, amount);
  tokens.m_lent.emplace_back(id,
                             now + LoanLifetime(tokens.m_limit) + kReturnGrace);
  return amount;
}

void AddLoan(WorkspaceTokens& tokens,
             uint64_t id,
             std::string_view lender,
             double amount,
             Millis sent,
             const FleetLimit& limit,
             Millis now) {
  const Millis expires = sent + LoanLifetime(limit);
  // A loan made under an old limit must not be used under the new one.
  if (now < expires && limit == tokens.m_limit && amount > 0) {
    tokens.m_loans.push_back({id, std::string(lender), amount, expires});
  }
}

std::vector<Loan> TakeSurplus(WorkspaceTokens& tokens,
                              std::string_view lender,
                              Millis now) {
  std::vector<Loan> surplus;
  double available = AvailableTokens(tokens, now);
  const double demand = DemandAt(tokens.m_demand, now);
  for (Loan& loan : tokens.m_loans) {
    if (loan.m_lender != lender || loan.m_id == 0 || now >= loan.m_expires) {
      continue;
    }
    const double amount =
        SurplusOfLoan(loan.m_tokens, available, demand, loan.m_expires - now,
                      LoanLifetime(tokens.m_limit));
    if (amount >= kMinLoan) {
      surplus.push_back(loan);
      surplus.back().m_tokens = amount;
      loan.m_id = 0;
      loan.m_tokens -= amount;
      available -= amount;
    }
  }
  return surplus;
}

}  // namespace bronzecross
