#include "quota/token_line.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

#include "quota/token_sharing.h"

namespace bronzecross {
namespace {

// A caller may come back this long before or after its reserved time: the
// header states hundredths of a second, and a new connection may be needed.
// Later its token goes to others.
constexpr Millis kEarlyReturn{40};
constexpr Millis kLateReturn{120};

// Tolerance for the deadline of a returning caller, which is measured anew with
// each attempt.
constexpr Millis kDeadlineTolerance{30};

// Minimum retry-after time.
constexpr Millis kMinReturn{150};

// Callers honour a retry-after time of up to this part of the time that they
// have left.
constexpr int64_t kTimeLeftDivisor = 3;

// Time over which the mean of the arrivals is taken.
constexpr Millis kArrivalsWindow{1'000};

// Callers whose spare times differ by less go by their deadlines.
constexpr int64_t kSpareTimeStep = 128;

// Returns how much longer than for an answer in time the caller waits, in
// milliseconds. It is less for a caller that has been refused before.
int64_t SpareTime(const TokenWaiter& waiter) {
  return waiter.m_deadline ? (*waiter.m_deadline - waiter.m_latest).count() : 0;
}

// Returns how far apart the deadlines of the two callers are, or std::nullopt
// if they can't be the same caller.
std::optional<Millis> DeadlineDifference(const ReservedReturn& reserved,
                                         const TokenWaiter& waiter) {
  if (reserved.m_priority != waiter.m_priority ||
      reserved.m_deadline.has_value() != waiter.m_deadline.has_value()) {
    return std::nullopt;
  }
  if (!reserved.m_deadline) {
    return Millis();
  }
  const Millis difference(
      std::abs((*reserved.m_deadline - *waiter.m_deadline).count()));
  return difference <= kDeadlineTolerance ? std::optional<Millis>(difference)
                                          : std::nullopt;
}

// Uses the reservation of the request's caller, or of one whose deadline is
// closest. Returns whether there is one.
bool UseReservation(TokenLine& line, const TokenWaiter& waiter, Millis now) {
  auto best = line.m_returns.end();
  Millis best_difference = kDeadlineTolerance + Millis(1);
  for (auto entry = line.m_returns.begin();
       entry != line.m_returns.end() && entry->m_due <= now + kEarlyReturn;
       ++entry) {
    const std::optional<Millis> difference = DeadlineDifference(*entry, waiter);
    if (difference && *difference < best_difference) {
      best = entry;
      best_difference = *difference;
    }
  }
  if (best == line.m_returns.end()) {
    return false;
  }
  line.m_returns.erase(best);
  return true;
}

void ExpireReturns(TokenLine& line, Millis now) {
  auto end = line.m_returns.begin();
  while (end != line.m_returns.end() && end->m_due + kLateReturn < now) {
    ++end;
  }
  line.m_returns.erase(line.m_returns.begin(), end);
}

// Returns the number of tokens that are kept now for returning callers of this
// or a higher priority.
double CountDue(const TokenLine& line, int priority, Millis now) {
  double due = 0;
  for (const ReservedReturn& reserved : line.m_returns) {
    if (reserved.m_due > now) {
      break;
    }
    due += reserved.m_priority <= priority ? 1 : 0;
  }
  return due;
}

double PerSecond(const ArrivalRate& arrivals, Millis now) {
  const double passed = (now - arrivals.m_last).Seconds();
  return arrivals.m_per_s * std::exp(-passed / kArrivalsWindow.Seconds());
}

void CountArrival(TokenLine& line, int priority, Millis now) {
  auto entry = std::find_if(line.m_arrivals.begin(), line.m_arrivals.end(),
                            [priority](const ArrivalRate& arrivals) {
                              return arrivals.m_priority == priority;
                            });
  if (entry == line.m_arrivals.end()) {
    entry = line.m_arrivals.insert(entry, {priority, 0, now});
  }
  entry->m_per_s = PerSecond(*entry, now) + 1 / kArrivalsWindow.Seconds();
  entry->m_last = now;
}

// Returns the minimum time between two tokens reserved at `priority`, if tokens
// are to be reserved. Reserved tokens are a smaller part of the rate the
// further the arrivals exceed it: under a lasting overload all tokens find
// callers, and are worth more to new requests, which get their first answer in
// time. Tokens that requests of higher priorities will take aren't reserved.
std::optional<Millis> ReturnInterval(const TokenLine& line,
                                     int priority,
                                     double rate_per_s,
                                     Millis now) {
  double all = 0;
  double higher = 0;
  for (const ArrivalRate& arrivals : line.m_arrivals) {
    const double per_s = PerSecond(arrivals, now);
    all += per_s;
    higher += arrivals.m_priority < priority ? per_s : 0;
  }
  const double fraction =
      std::min(2 - all / rate_per_s, 1 - higher / rate_per_s);
  if (fraction <= 0) {
    return std::nullopt;
  }
  return Millis(static_cast<int64_t>(
      std::ceil(1000 / (rate_per_s * std::min(fraction, 1.0)))));
}

// Returns the latest free time for a reserved token in [earliest, latest]. The
// later a caller comes back, the likelier the load has fallen, and the tokens
// until then serve new requests.
std::optional<Millis> FindReturnTime(const TokenLine& line,
                                     Millis earliest,
                                     Millis latest,
                                     Millis interval) {
  Millis due = latest;
  for (auto entry = line.m_returns.rbegin();
       entry != line.m_returns.rend() && entry->m_due + interval > due;
       ++entry) {
    if (entry->m_due < due + interval) {
      due = entry->m_due - interval;
    }
  }
  if (due < earliest) {
    return std::nullopt;
  }
  return due;
}

void Refuse(TokenLine& line,
            TokenWaiter& waiter,
            double tokens,
            const TokenSupply& supply,
            int position,
            Millis now) {
  waiter.m_outcome = TokenOutcome::kRefused;
  const Millis longest = LongestRetryAfter(
      waiter.m_deadline ? std::optional<Millis>(*waiter.m_deadline - now)
                        : std::nullopt);
  waiter.m_retry_after = longest;
  const std::optional<Millis> expected = ExpectedTokenTime(
      line.m_returns, tokens, supply, position, waiter.m_priority, now);
  if (!expected || waiter.m_is_passed_on) {
    return;
  }
  const std::optional<Millis> interval =
      ReturnInterval(line, waiter.m_priority, supply.m_rate_per_s, now);
  if (!interval) {
    return;
  }
  const std::optional<Millis> due = FindReturnTime(
      line, std::max(*expected, now + std::min(kMinReturn, longest)),
      now + longest, *interval);
  if (!due) {
    return;
  }
  const auto before =
      std::upper_bound(line.m_returns.begin(), line.m_returns.end(), *due,
                       [](Millis time, const ReservedReturn& reserved) {
                         return time < reserved.m_due;
                       });
  line.m_returns.insert(before, {*due, waiter.m_priority, waiter.m_deadline});
  waiter.m_retry_after = *due - now;
  waiter.m_reserved_return = *due;
}

}  // namespace

Millis LongestRetryAfter(std::optional<Millis> time_left) {
  if (!time_left) {
    return kMaxTokenRetryAfter;
  }
  return std::clamp(*time_left / kTimeLeftDivisor, Millis(),
                    kMaxTokenRetryAfter);
}

TokenWaiter MakeTokenWaiter(const TokenRequest& request, Millis now) {
  TokenWaiter waiter;
  waiter.m_priority = request.m_priority;
  waiter.m_latest = now + request.m_max_wait;
  waiter.m_refuse_by = now + request.m_prompt_refusal;
  if (request.m_time_left) {
    waiter.m_deadline = now + *request.m_time_left;
  }
  waiter.m_is_passed_on = request.m_is_passed_on;
  return waiter;
}

bool GoesFirst(const TokenWaiter& a, const TokenWaiter& b, Millis now) {
  const bool a_must_stay = now > a.m_refuse_by;
  const bool b_must_stay = now > b.m_refuse_by;
  if (a_must_stay != b_must_stay) {
    return a_must_stay;
  }
  if (!a_must_stay && a.m_priority != b.m_priority) {
    return a.m_priority < b.m_priority;
  }
  if (a.m_has_reservation != b.m_has_reservation) {
    return a.m_has_reservation;
  }
  const int64_t a_spare = SpareTime(a) / kSpareTimeStep;
  const int64_t b_spare = SpareTime(b) / kSpareTimeStep;
  if (!a_must_stay && a_spare != b_spare) {
    return a_spare > b_spare;
  }
  return a.m_latest < b.m_latest;
}

std::optional<Millis> ExpectedTokenTime(std::span<const ReservedReturn> returns,
                                        double tokens,
                                        const TokenSupply& supply,
                                        int position,
                                        int priority,
                                        Millis now) {
  if (supply.m_rate_per_s <= 0) {
    return std::nullopt;
  }
  const Millis from = std::max(now, supply.m_accrues_from);
  double needed = position - tokens;
  Millis expected = now;
  for (size_t returned = 0;; ++returned) {
    if (needed > 0) {
      expected = from + Millis(static_cast<int64_t>(
                            std::ceil(needed * 1000 / supply.m_rate_per_s)));
    }
    if (returned == returns.size() || returns[returned].m_due > expected) {
      return expected;
    }
    needed += returns[returned].m_priority <= priority ? 1 : 0;
  }
}

void JoinLine(TokenLine& line, TokenWaiter& waiter, Millis now) {
  if (!waiter.m_is_passed_on) {
    CountArrival(line, waiter.m_priority, now);
  }
  ExpireReturns(line, now);
  waiter.m_has_reservation =
      !waiter.m_is_passed_on && UseReservation(line, waiter, now);
  line.m_waiting.push_back(&waiter);
}

void LeaveLine(TokenLine& line, const TokenWaiter& waiter) {
  std::erase(line.m_waiting, &waiter);
}

void CancelReturn(TokenLine& line, const TokenWaiter& waiter) {
  if (!waiter.m_reserved_return) {
    return;
  }
  const auto entry =
      std::find_if(line.m_returns.begin(), line.m_returns.end(),
                   [&waiter](const ReservedReturn& reserved) {
                     return reserved.m_due == *waiter.m_reserved_return &&
                            reserved.m_deadline == waiter.m_deadline;
                   });
  if (entry != line.m_returns.end()) {
    line.m_returns.erase(entry);
  }
}

std::vector<TokenWaiter*> SettleLine(TokenLine& line,
                                     TokenBucket& bucket,
                                     const TokenSupply& supply,
                                     Millis now) {
  ExpireReturns(line, now);
  std::stable_sort(line.m_waiting.begin(), line.m_waiting.end(),
                   [now](const TokenWaiter* a, const TokenWaiter* b) {
                     return GoesFirst(*a, *b, now);
                   });
  std::vector<TokenWaiter*> settled;
  std::vector<TokenWaiter*> remaining;
  for (TokenWaiter* waiter : line.m_waiting) {
    const double kept =
        waiter->m_has_reservation ? 0 : CountDue(line, waiter->m_priority, now);
    if (remaining.empty() && bucket.m_tokens >= 1 + kept &&
        TakeTokens(bucket, 1)) {
      waiter->m_outcome = TokenOutcome::kGranted;
      settled.push_back(waiter);
      continue;
    }
    const int position = static_cast<int>(remaining.size()) + 1;
    const std::optional<Millis> expected = ExpectedTokenTime(
        waiter->m_has_reservation ? std::span<const ReservedReturn>()
                                  : line.m_returns,
        bucket.m_tokens, supply, position, waiter->m_priority, now);
    const bool is_late = !expected || *expected > waiter->m_latest;
    // A request that was expected to get a token and has waited too long for a
    // prompt refusal stays until the end, in case a token is left over.
    if (now >= waiter->m_latest ||
        (is_late && (now <= waiter->m_refuse_by || !waiter->m_is_expected))) {
      Refuse(line, *waiter, bucket.m_tokens, supply, position, now);
      settled.push_back(waiter);
      continue;
    }
    waiter->m_is_expected = true;
    remaining.push_back(waiter);
  }
  line.m_waiting = std::move(remaining);
  return settled;
}

}  // namespace bronzecross
