// Limits retries to a fraction of the recent requests, so that they do not
// multiply the load on a failing fleet.

#ifndef BRONZECROSS_ROUTING_RETRY_BUDGET_H_
#define BRONZECROSS_ROUTING_RETRY_BUDGET_H_

#include "base/clock.h"

namespace bronzecross {

struct RetryBudget {
  // Exponentially decaying counts with a time constant of 10 s.
  double m_requests = 0;
  double m_retries = 0;
  Millis m_counted_at;
};

void RecordRequest(RetryBudget& budget, Millis now);

// Returns true and counts the retry if the retries stay within 10% of the
// recent requests plus a fixed minimum for low traffic.
bool TakeRetry(RetryBudget& budget, Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_ROUTING_RETRY_BUDGET_H_
