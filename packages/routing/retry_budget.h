// Bounds resent requests to a share of the recent requests, so that retries do
// not multiply the load on a failing fleet.

#ifndef BRONZECROSS_ROUTING_RETRY_BUDGET_H_
#define BRONZECROSS_ROUTING_RETRY_BUDGET_H_

#include "base/clock.h"

namespace bronzecross {

struct RetryBudget {
  // Decaying counts over about 10 s.
  double m_requests = 0;
  double m_retries = 0;
  Millis m_counted_at;
};

void NoteRequest(RetryBudget& budget, Millis now);

// Whether one more retry fits into 10% of the recent requests, or the minimum
// for quiet times; counts it if so.
bool TakeRetry(RetryBudget& budget, Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_ROUTING_RETRY_BUDGET_H_
