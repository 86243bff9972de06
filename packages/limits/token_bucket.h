// A token bucket whose tokens can be reserved and given back.

#ifndef BRONZECROSS_LIMITS_TOKEN_BUCKET_H_
#define BRONZECROSS_LIMITS_TOKEN_BUCKET_H_

#include <cstdint>
#include <map>

#include "base/clock.h"

namespace bronzecross {

// Invariants: 0 <= m_tokens, and m_tokens + m_reserved_total <= the capacity
// passed to the last Refill(). The second one guarantees rate x window + burst
// for every window: a token given back late must not be added to a bucket that
// was refilled in between.
struct TokenBucket {
  double m_tokens = 0;
  Millis m_refilled;
  // Taken tokens that may still be given back, keyed by reservation id, which
  // sorts them oldest first.
  std::map<uint64_t, double> m_reserved;
  double m_reserved_total = 0;
};

// Adds the tokens that accrued since the last refill at `rate_per_s`, up to
// `capacity`. Reduces the oldest reservations until they and the tokens fit
// into `capacity`; the tokens cut off can't be given back.
void Refill(TokenBucket& bucket,
            double rate_per_s,
            double capacity,
            Millis now);

// Takes `count` tokens if available. Returns whether it did.
bool TakeTokens(TokenBucket& bucket, double count);

// Takes `count` tokens, which must be available, under the new reservation
// `id`. Ids must increase.
void ReserveTokens(TokenBucket& bucket, uint64_t id, double count);

// Gives back up to `count` tokens of reservation `id` and ends it. Returns the
// amount credited, 0 for an unknown or ended reservation.
double GiveBackTokens(TokenBucket& bucket, uint64_t id, double count);

// Ends reservation `id`: its tokens are spent.
void SpendReserved(TokenBucket& bucket, uint64_t id);

// Returns the time until `count` tokens are available at `rate_per_s`.
Millis TimeUntil(const TokenBucket& bucket, double rate_per_s, double count);

}  // namespace bronzecross

#endif  // BRONZECROSS_LIMITS_TOKEN_BUCKET_H_
