// Decisions about which VM holds the right to place orders on a half's
// upstreams. The right is held by a record in the store that is tied to the
// VM's lease.

#ifndef BRONZECROSS_ORDERS_ORDER_CLAIM_H_
#define BRONZECROSS_ORDERS_ORDER_CLAIM_H_

#include <cstdint>
#include <span>

#include "base/clock.h"

namespace bronzecross {

enum class ClaimDecision {
  kHold,       // the record is this VM's own
  kClaim,      // take over the record
  kWait,       // the former holder may still have an order under way
  kNotHolder,  // another VM holds the record or takes precedence
};

struct ClaimInputs {
  // Whether the half has a record.
  bool m_exists = false;
  // Whether the record names this VM and the lease that it holds now.
  bool m_is_own = false;
  // Whether this VM ranks first by rendezvous hash among the live VMs that
  // serve the half.
  bool m_is_first = false;
  // Whether the record's holder still has its lease in the store.
  bool m_holder_has_lease = false;
  // When this VM first saw that the holder's lease had ended.
  Millis m_lease_lost_since;
};

// Returns what this VM does about a half's record. `order_timeout` is the
// longest time that an order can be under way. A holder sends an order only if
// its lease lasts longer than that, so `order_timeout` after the end of the
// lease its last order has ended at the engine as well.
ClaimDecision DecideClaim(const ClaimInputs& inputs,
                          Millis order_timeout,
                          Millis now);

// Returns whether a holder whose lease ends at `lease_expires` may send an
// order now.
bool MaySendOrder(Millis lease_expires, Millis order_timeout, Millis now);

// State of another half's record and its holder.
struct OtherHalf {
  // Manifest generation that the holder has applied.
  int64_t m_applied_generation = 0;
  bool m_holder_has_lease = false;
  Millis m_lease_lost_since;
};

// Returns whether all other halves have released the upstreams that generation
// `halves_generation` moved to this half. A half has released them once its
// holder has applied that generation, or once the holder's lease and its last
// order have ended. A later holder of that half applies the store's manifest
// before it claims the record, so it can't send orders to those upstreams.
bool HaveOthersReleased(std::span<const OtherHalf> others,
                        int64_t halves_generation,
                        Millis order_timeout,
                        Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_ORDERS_ORDER_CLAIM_H_
