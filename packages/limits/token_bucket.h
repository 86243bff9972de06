// A token bucket as a plain struct.

#ifndef BRONZECROSS_LIMITS_TOKEN_BUCKET_H_
#define BRONZECROSS_LIMITS_TOKEN_BUCKET_H_

#include "base/clock.h"

namespace bronzecross {

// Invariant: 0 <= m_tokens <= the capacity given at the last refill.
struct TokenBucket {
  double m_tokens = 0;
  Millis m_refilled;
};

// Adds what `rate_per_s` gives since the last refill, up to `capacity`.
void Refill(TokenBucket& bucket,
            double rate_per_s,
            double capacity,
            Millis now);

// Takes `count` tokens if there are so many. Returns whether it did.
bool TakeTokens(TokenBucket& bucket, double count);

// Time until `count` tokens are there at `rate_per_s`.
Millis TimeUntil(const TokenBucket& bucket, double rate_per_s, double count);

}  // namespace bronzecross

#endif  // BRONZECROSS_LIMITS_TOKEN_BUCKET_H_
