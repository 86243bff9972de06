// Bounds on what a peer may send, beyond the limits of a single message.

#ifndef BRONZECROSS_HTTP1_READ_BOUNDS_H_
#define BRONZECROSS_HTTP1_READ_BOUNDS_H_

#include <cstddef>
#include <cstdint>

#include "base/clock.h"
#include "http1/memory_budget.h"

namespace bronzecross {

// The rate that a body must have once the grace period has passed.
struct MinBodyRate {
  int64_t m_bytes_per_s = 0;  // 0: none
  Millis m_grace;
};

// Returns the time until which the next byte of a body must arrive, of which
// `received` bytes have arrived since `began`.
Millis BodyDeadline(const MinBodyRate& rate, Millis began, size_t received);

struct ReadBounds {
  // What the connection holds is counted here; null: it isn't bounded.
  BudgetLease* m_lease = nullptr;
  // Maximum size of a header section that isn't complete, including the empty
  // lines before it.
  size_t m_incomplete_head_bytes = SIZE_MAX;
  MinBodyRate m_body_rate;
};

// Which bound ended the reading of a message.
enum class ReadFault {
  kNone,
  kHeadTooLarge,
  kConnectionFull,  // over the share of one connection
  kShareFull,       // over the share of the group
  kBudgetFull,
  kTooSlow,
};

ReadFault FaultOf(BudgetVerdict verdict);

}  // namespace bronzecross

#endif  // BRONZECROSS_HTTP1_READ_BOUNDS_H_
