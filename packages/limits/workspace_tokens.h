// One workspace's tokens on one VM: the bucket filled by its slots, and
// borrowed tokens.

#ifndef BRONZECROSS_LIMITS_WORKSPACE_TOKENS_H_
#define BRONZECROSS_LIMITS_WORKSPACE_TOKENS_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "limits/lending.h"
#include "limits/token_bucket.h"

namespace bronzecross {

// This VM's share of all slots.
struct SlotShare {
  double m_share = 0;  // 0 to 1
  // The version of the slot table that made this VM a holder.
  int64_t m_since = 0;
  // The slots may only be used before this time.
  Millis m_usable_until;
};

// Borrowed tokens.
struct Loan {
  // The lender's reservation; 0 once a part of the loan was returned, which
  // ends the reservation.
  uint64_t m_id = 0;
  std::string m_lender;
  double m_tokens = 0;
  Millis m_expires;
};

// Invariant: every token in m_bucket and m_loans of any VM comes from slots
// that only one VM uses at a time.
struct WorkspaceTokens {
  FleetLimit m_limit;
  SlotShare m_slots;
  TokenBucket m_bucket;
  std::vector<Loan> m_loans;
  // Reservations of granted loans, with the time after which no returned tokens
  // are accepted.
  std::deque<std::pair<uint64_t, Millis>> m_lent;
  Demand m_demand;
  int m_waiting = 0;
};

// One token taken for a request.
struct TakenToken {
  // The part from the own bucket, under reservation m_id.
  uint64_t m_id = 0;
  double m_own = 0;
  // The parts taken from loans. m_tokens is the amount taken.
  std::vector<Loan> m_borrowed;
  // The token may only be used before this time.
  Millis m_valid_until;
  // The limit under which the token was taken.
  FleetLimit m_limit;
};

// Updates the tokens to `now` under the current limit and slots. A lower limit
// applies at once, a changed limit cancels all loans, and newly received slots
// start with an empty bucket.
void UpdateTokens(WorkspaceTokens& tokens,
                  const FleetLimit& limit,
                  const SlotShare& slots,
                  Millis now);

// Returns the tokens that can be taken at `now`. Call UpdateTokens() before
// this and all functions below.
double AvailableTokens(const WorkspaceTokens& tokens, Millis now);

// Takes one token, borrowed ones first. `id` is a new reservation id, higher
// than all previous ones. Returns std::nullopt if less than a token is
// available.
std::optional<TakenToken> TakeToken(WorkspaceTokens& tokens,
                                    uint64_t id,
                                    Millis now);

// Gives back a token whose request did not run.
void GiveBackToken(WorkspaceTokens& tokens, const TakenToken& taken);
// Ends the reservation of a token whose request ran.
void SpendToken(WorkspaceTokens& tokens, const TakenToken& taken);

// Decides how much to lend and takes it from the bucket under reservation `id`.
// Returns the amount.
double LendTokens(WorkspaceTokens& tokens,
                  uint64_t id,
                  const LoanRequest& request,
                  Millis now);

// Adds a loan that was received for a request sent at `sent` under `limit`.
// Ignores it if it has expired or the limit has changed.
void AddLoan(WorkspaceTokens& tokens,
             uint64_t id,
             std::string_view lender,
             double amount,
             Millis sent,
             const FleetLimit& limit,
             Millis now);

// Removes the surplus of the loans of `lender` and returns it, to be sent back.
std::vector<Loan> TakeSurplus(WorkspaceTokens& tokens,
                              std::string_view lender,
                              Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_LIMITS_WORKSPACE_TOKENS_H_
