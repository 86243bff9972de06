// Counts a response that is read completely before it is relayed.

#ifndef BRONZECROSS_GATEWAY_BUFFERED_RESPONSE_H_
#define BRONZECROSS_GATEWAY_BUFFERED_RESPONSE_H_

#include <cstddef>

#include "http1/memory_budget.h"

namespace bronzecross {

class BufferedResponse {
 public:
  // `total`: the bytes of all such responses of this VM; must outlive this
  // object. The response counts toward the group of `request`.
  BufferedResponse(size_t& total, BudgetLease& request);
  ~BufferedResponse() { m_total -= m_counted; }
  BufferedResponse(const BufferedResponse&) = delete;
  BufferedResponse& operator=(const BufferedResponse&) = delete;

  enum class Verdict {
    kFits,
    kTooLarge,  // whichever upstream sends it
    kNoMemory,  // the VM holds too much for others
  };

  // Counts a response of `bytes` that takes `capacity` bytes of memory.
  Verdict Update(size_t bytes, size_t capacity);

 private:
  size_t& m_total;
  size_t m_counted = 0;
  BudgetLease m_lease;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_BUFFERED_RESPONSE_H_
