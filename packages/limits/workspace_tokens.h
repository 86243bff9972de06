// One workspace's tokens on one VM: the bucket of its slots and what it
// borrowed.

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

// This VM's part of all slots.
struct SlotShare {
  double m_share = 0;  // 0 to 1
  // The table's version that made this VM a holder.
  int64_t m_since = 0;
  // Time until which the slots may be used.
  Millis m_usable_until;
};

// Borrowed tokens.
struct Loan {
  // The lender's reservation; 0 once a part of the loan went back, since that
  // ends the reservation.
  uint64_t m_id = 0;
  std::string m_lender;
  double m_tokens = 0;
  Millis m_expires;
};

// Invariant: all tokens in m_bucket and m_loans together with those of all
// other VMs come from slots that no other VM uses.
struct WorkspaceTokens {
  FleetLimit m_limit;
  SlotShare m_slots;
  TokenBucket m_bucket;
  std::vector<Loan> m_loans;
  // Reservations of loans given, with the time after which none comes back.
  std::deque<std::pair<uint64_t, Millis>> m_lent;
  Demand m_demand;
  int m_waiting = 0;
};

// One token taken for a request.
struct TakenToken {
  // The part from the own bucket, under reservation m_id.
  uint64_t m_id = 0;
  double m_own = 0;
  // Parts of loans, each with its amount.
  std::vector<Loan> m_borrowed;
  // The token may only be used before this time.
  Millis m_valid_until;
  // The limit under which it was taken.
  FleetLimit m_limit;
};

// Brings the tokens up to `now` under the limit and the slots in force. A lower
// limit holds at once; changed limits void loans; slots start empty.
void UpdateTokens(WorkspaceTokens& tokens,
                  const FleetLimit& limit,
                  const SlotShare& slots,
                  Millis now);

// Tokens that can be taken at `now`. Call UpdateTokens() first, as for all
// functions below.
double AvailableTokens(const WorkspaceTokens& tokens, Millis now);

// Takes one token, borrowed ones first. `id` is a new reservation id, higher
// than all before.
std::optional<TakenToken> TakeToken(WorkspaceTokens& tokens,
                                    uint64_t id,
                                    Millis now);

// Gives back a token whose request did not run, or ends its reservation.
void GiveBackToken(WorkspaceTokens& tokens, const TakenToken& taken);
void SpendToken(WorkspaceTokens& tokens, const TakenToken& taken);

// Removes what is lent from the bucket under reservation `id`. Returns the
// amount.
double LendTokens(WorkspaceTokens& tokens,
                  uint64_t id,
                  const LoanRequest& request,
                  Millis now);

// Accepts an answer to a request that was sent at `sent` under `limit`.
void AddLoan(WorkspaceTokens& tokens,
             uint64_t id,
             std::string_view lender,
             double amount,
             Millis sent,
             const FleetLimit& limit,
             Millis now);

// Removes and returns what `lender` is to get back of its loans.
std::vector<Loan> TakeSurplus(WorkspaceTokens& tokens,
                              std::string_view lender,
                              Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_LIMITS_WORKSPACE_TOKENS_H_
