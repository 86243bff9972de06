#include "limits/token_bucket.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace bronzecross {
namespace {

constexpr Millis kMaxWait{60'000};

void ClipReserved(TokenBucket& bucket, double capacity) {
  double excess = bucket.m_tokens + bucket.m_reserved_total - capacity;
  while (excess > 0 && !bucket.m_reserved.empty()) {
    const auto oldest = bucket.m_reserved.begin();
    const double cut = std::min(excess, oldest->second);
    excess -= cut;
    oldest->second -= cut;
    bucket.m_reserved_total -= cut;
    if (oldest->second <= 0) {
      bucket.m_reserved.erase(oldest);
    }
  }
  if (bucket.m_reserved.empty()) {
    bucket.m_reserved_total = 0;
  }
}

}  // namespace

void Refill(TokenBucket& bucket,
            double rate_per_s,
            double capacity,
            Millis now) {
  const Millis passed = std::max(now - bucket.m_refilled, Millis(0));
  bucket.m_tokens =
      std::min(capacity, bucket.m_tokens + rate_per_s * passed.Seconds());
  bucket.m_refilled = std::max(now, bucket.m_refilled);
  ClipReserved(bucket, capacity);
}

bool TakeTokens(TokenBucket& bucket, double count) {
  if (bucket.m_tokens < count) {
    return false;
  }
  bucket.m_tokens -= count;
  return true;
}

void ReserveTokens(TokenBucket& bucket, uint64_t id, double count) {
  assert(count >= 0 && bucket.m_tokens >= count);
  assert(bucket.m_reserved.empty() || bucket.m_reserved.rbegin()->first < id);
  bucket.m_tokens -= count;
  bucket.m_reserved.emplace_hint(bucket.m_reserved.end(), id, count);
  bucket.m_reserved_total += count;
}

double GiveBackTokens(TokenBucket& bucket, uint64_t id, double count) {
  const auto found = bucket.m_reserved.find(id);
  if (found == bucket.m_reserved.end()) {
    return 0;
  }
  const double credited = std::clamp(count, 0.0, found->second);
  bucket.m_tokens += credited;
  SpendReserved(bucket, id);
  return credited;
}

void SpendReserved(TokenBucket& bucket, uint64_t id) {
  const auto found = bucket.m_reserved.find(id);
  if (found != bucket.m_reserved.end()) {
    bucket.m_reserved_total -= found->second;
    bucket.m_reserved.erase(found);
  }
}

Millis TimeUntil(const TokenBucket& bucket, double rate_per_s, double count) {
  const double missing = count - bucket.m_tokens;
  if (missing <= 0) {
    return Millis(0);
  }
  if (rate_per_s * kMaxWait.Seconds() <= missing) {
    return kMaxWait;
  }
  return Millis(static_cast<int64_t>(std::ceil(missing / rate_per_s * 1000.0)));
}

}  // namespace bronzecross
