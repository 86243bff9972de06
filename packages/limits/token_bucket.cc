#include "limits/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace bronzecross {
namespace {

constexpr Millis kLongestWait{60'000};

}  // namespace

void Refill(TokenBucket& bucket,
            double rate_per_s,
            double capacity,
            Millis now) {
  const Millis passed = std::max(now - bucket.m_refilled, Millis(0));
  bucket.m_tokens =
      std::min(capacity, bucket.m_tokens + rate_per_s * passed.Seconds());
  bucket.m_refilled = std::max(now, bucket.m_refilled);
}

bool TakeTokens(TokenBucket& bucket, double count) {
  if (bucket.m_tokens < count) {
    return false;
  }
  bucket.m_tokens -= count;
  return true;
}

Millis TimeUntil(const TokenBucket& bucket, double rate_per_s, double count) {
  const double missing = count - bucket.m_tokens;
  if (missing <= 0) {
    return Millis(0);
  }
  if (rate_per_s * kLongestWait.Seconds() <= missing) {
    return kLongestWait;
  }
  return Millis(static_cast<int64_t>(std::ceil(missing / rate_per_s * 1000.0)));
}

}  // namespace bronzecross
