// Decides which requests get the rate tokens of a quota shard at its owner when
// there are fewer tokens than requests. A request takes a token now, waits for
// one that accrues while its response can still begin in time, or is refused
// promptly. A refused caller gets the retry-after time at which a token is
// reserved for it, so that callers come back spread over the tokens that
// accrue.

#ifndef BRONZECROSS_QUOTA_TOKEN_LINE_H_
#define BRONZECROSS_QUOTA_TOKEN_LINE_H_

#include <optional>
#include <span>
#include <vector>

#include "base/clock.h"
#include "limits/token_bucket.h"
#include "quota/token_request.h"

namespace bronzecross {

enum class TokenOutcome { kWaiting, kGranted, kRefused };

// A request at the quota owner.
struct TokenWaiter {
  int m_priority = 0;  // 0 is the highest
  Millis m_latest;     // a token is of no use later
  Millis m_refuse_by;  // a later refusal isn't prompt
  // When the caller stops waiting, if known.
  std::optional<Millis> m_deadline;
  // Its caller isn't told to come back.
  bool m_is_passed_on = false;
  // Its caller has come back at a time for which a token was reserved.
  bool m_has_reservation = false;
  // Has been in the line with a token expected in time.
  bool m_is_expected = false;
  TokenOutcome m_outcome = TokenOutcome::kWaiting;
  // Set if refused.
  Millis m_retry_after;
  std::optional<Millis> m_reserved_return;
};

// A token reserved for a refused caller that comes back. Callers send a new
// request id with each attempt, so that a caller that comes back is known only
// by the time and its deadline.
struct ReservedReturn {
  Millis m_due;
  int m_priority = 0;
  std::optional<Millis> m_deadline;  // of the caller, if known
};

// Recent mean of the requests of one priority.
struct ArrivalRate {
  int m_priority = 0;
  double m_per_s = 0;  // at m_last
  Millis m_last;
};

struct TokenLine {
  // Those without an outcome, in the order of GoesFirst() at the last change.
  std::vector<TokenWaiter*> m_waiting;
  std::vector<ReservedReturn> m_returns;  // sorted by m_due
  std::vector<ArrivalRate> m_arrivals;    // one for each priority seen
};

// The rate at which tokens accrue, from a time that isn't before the present
// one.
struct TokenSupply {
  double m_rate_per_s = 0;
  Millis m_accrues_from;
};

// Returns the longest retry-after time that a caller honours.
Millis LongestRetryAfter(std::optional<Millis> time_left);

TokenWaiter MakeTokenWaiter(const TokenRequest& request, Millis now);

// Whether `a` gets a token before `b`. Requests that can't be refused promptly
// any more go first, so that later ones don't overtake them for good. The
// others go by priority; then callers with a reservation; then callers with
// more time, which those that were refused before don't have: a token is worth
// more to a request that hasn't been refused. Last, the earliest deadline.
bool GoesFirst(const TokenWaiter& a, const TokenWaiter& b, Millis now);

// Returns when the request at `position` of the line (1: the first) is expected
// to get a token, unless no tokens accrue. Tokens reserved until then by
// `returns` are kept for returning callers of this or a higher priority.
std::optional<Millis> ExpectedTokenTime(std::span<const ReservedReturn> returns,
                                        double tokens,
                                        const TokenSupply& supply,
                                        int position,
                                        int priority,
                                        Millis now);

// Adds a request to the line. It uses the reservation of a caller that was
// expected at this time and has the same deadline, if there is one.
void JoinLine(TokenLine& line, TokenWaiter& waiter, Millis now);

void LeaveLine(TokenLine& line, const TokenWaiter& waiter);

// Ends the reservation that a refused request was given.
void CancelReturn(TokenLine& line, const TokenWaiter& waiter);

// Gives the tokens of `bucket`, which has been refilled, to the line in order.
// Refuses requests that can't get a token in time. Returns those that were
// given a token or refused; they have left the line.
std::vector<TokenWaiter*> SettleLine(TokenLine& line,
                                     TokenBucket& bucket,
                                     const TokenSupply& supply,
                                     Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_QUOTA_TOKEN_LINE_H_
