#include "http1/read_bounds.h"

#include "aio/wait.h"

namespace bronzecross {

Millis BodyDeadline(const MinBodyRate& rate, Millis began, size_t received) {
  if (rate.m_bytes_per_s <= 0) {
    return kNever;
  }
  return began + rate.m_grace +
         Millis(static_cast<int64_t>(received) * 1'000 / rate.m_bytes_per_s);
}

ReadFault FaultOf(BudgetVerdict verdict) {
  switch (verdict) {
    case BudgetVerdict::kFits:
      return ReadFault::kNone;
    case BudgetVerdict::kConnectionFull:
      return ReadFault::kConnectionFull;
    case BudgetVerdict::kGroupFull:
      return ReadFault::kShareFull;
    case BudgetVerdict::kBudgetFull:
      return ReadFault::kBudgetFull;
  }
  return ReadFault::kNone;
}

}  // namespace bronzecross
