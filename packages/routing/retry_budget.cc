#include "routing/retry_budget.h"

#include <cmath>

namespace bronzecross {
namespace {

constexpr double kWindowSeconds = 10;
constexpr double kRetryRatio = 0.1;
// Lets a VM with few requests retry some of them.
constexpr double kMinRetries = 10;

void Decay(RetryBudget& budget, Millis now) {
  const double factor =
      std::exp(-(now - budget.m_counted_at).Seconds() / kWindowSeconds);
  budget.m_requests *= factor;
  budget.m_retries *= factor;
  budget.m_counted_at = now;
}

}  // namespace

void RecordRequest(RetryBudget& budget, Millis now) {
  Decay(budget, now);
  budget.m_requests += 1;
}

bool TakeRetry(RetryBudget& budget, Millis now) {
  Decay(budget, now);
  if (budget.m_retries + 1 > kMinRetries + kRetryRatio * budget.m_requests) {
    return false;
  }
  budget.m_retries += 1;
  return true;
}

}  // namespace bronzecross
