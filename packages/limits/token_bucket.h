// A token bucket as a plain struct, with reservations that may be given back.

#ifndef BRONZECROSS_LIMITS_TOKEN_BUCKET_H_
#define BRONZECROSS_LIMITS_TOKEN_BUCKET_H_

#include <cstdint>
#include <map>

#include "base/clock.h"

namespace bronzecross {

// Invariant: 0 <= m_tokens, and m_tokens + m_reserved_total <= the capacity
// given at the last refill. The second half keeps the bound on every window: a
// token given back late must not add to a bucket that was refilled meanwhile.
struct TokenBucket {
  double m_tokens = 0;
  Millis m_refilled;
  // Tokens taken that may still be given back, by reservation; oldest first.
  std::map<uint64_t, double> m_reserved;
  double m_reserved_total = 0;
};

// Adds what `rate_per_s` gives since the last refill, up to `capacity`.
// Reservations that no longer fit beside the tokens lose their right to be
// given back.
void Refill(TokenBucket& bucket,
            double rate_per_s,
            double capacity,
            Millis now);

// Takes `count` tokens if there are so many. Returns whether it did.
bool TakeTokens(TokenBucket& bucket, double count);

// Takes `count` tokens, which must be there, under the new reservation `id`.
// Ids must rise.
void ReserveTokens(TokenBucket& bucket, uint64_t id, double count);

// Gives back up to `count` tokens of reservation `id` and ends it. Returns what
// was credited: nothing for an unknown or ended reservation.
double GiveBackTokens(TokenBucket& bucket, uint64_t id, double count);

// Ends reservation `id`: its tokens are spent.
void SpendReserved(TokenBucket& bucket, uint64_t id);

// Time until `count` tokens are there at `rate_per_s`.
Millis TimeUntil(const TokenBucket& bucket, double rate_per_s, double count);

}  // namespace bronzecross

#endif  // BRONZECROSS_LIMITS_TOKEN_BUCKET_H_
