// Decisions on the right to place orders.

#ifndef BRONZECROSS_ORDERS_ORDER_CLAIM_H_
#define BRONZECROSS_ORDERS_ORDER_CLAIM_H_

#include <cstdint>
#include <span>

#include "base/clock.h"

namespace bronzecross {

enum class ClaimDecision {
  kHold,     // the record is this VM's own
  kClaim,    // take it over
  kWait,     // the former holder may still have an order under way
  kNotMine,  // another VM holds it or comes first
};

struct ClaimInputs {
  bool m_exists = false;
  // The record names this VM and the lease that it holds now.
  bool m_is_own = false;
  // This VM is the first live one that serves the half.
  bool m_is_first = false;
  // The record's holder still has its lease in the store.
  bool m_holder_has_lease = false;
  // When this VM first saw that the holder's lease is gone.
  Millis m_gone_since;
};

// `order_timeout` is the longest that an order can be under way. A holder sends
// an order only if its lease outlives that time, so `order_timeout` after the
// lease's end the last order has ended at the engine as well.
ClaimDecision DecideClaim(const ClaimInputs& inputs,
                          Millis order_timeout,
                          Millis now);

// Whether a holder whose lease ends at `lease_expires` may send an order now.
bool MaySendOrder(Millis lease_expires, Millis order_timeout, Millis now);

// What is known of another half's holder.
struct OtherHalf {
  int64_t m_followed_generation = 0;
  bool m_holder_has_lease = false;
  Millis m_gone_since;
};

// Whether all other halves have let go of the upstreams that generation
// `halves_generation` gave to this half: each has followed it, or its holder's
// lease is gone and its last order has ended. A later holder of that half
// follows the manifest of the store before it claims, so it can't order on
// them.
bool HaveOthersLetGo(std::span<const OtherHalf> others,
                     int64_t halves_generation,
                     Millis order_timeout,
                     Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_ORDERS_ORDER_CLAIM_H_
