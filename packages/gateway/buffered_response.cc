#include "gateway/buffered_response.h"

namespace bronzecross {
namespace {

// Maximum size of a response that isn't streamed. It is read completely before
// it is relayed, so that a broken response can still be followed by another
// attempt or an error response.
constexpr size_t kMaxBufferedBytes = 4 << 20;

// Maximum size of all responses together that this VM reads before it relays
// them. Many large responses at once would take more memory than the smallest
// VMs have.
constexpr size_t kMaxTotalBufferedBytes = 32 << 20;

// Responses up to this size don't count toward kMaxTotalBufferedBytes.
constexpr size_t kUncountedBytes = 64 << 10;

}  // namespace

BufferedResponse::BufferedResponse(size_t& total, BudgetLease& request)
    : m_total(total), m_lease(request.Budget()) {
  m_lease.JoinGroupOf(request);
}

BufferedResponse::Verdict BufferedResponse::Update(size_t bytes,
                                                   size_t capacity) {
  const size_t counted = bytes > kUncountedBytes ? bytes : 0;
  m_total += counted - m_counted;
  m_counted = counted;
  const BudgetVerdict verdict = m_lease.Hold(capacity);
  if (bytes > kMaxBufferedBytes ||
      (counted > 0 && m_total > kMaxTotalBufferedBytes)) {
    return Verdict::kTooLarge;
  }
  return verdict == BudgetVerdict::kFits ? Verdict::kFits : Verdict::kNoMemory;
}

}  // namespace bronzecross
