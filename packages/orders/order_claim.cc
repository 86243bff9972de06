#include "orders/order_claim.h"

#include <algorithm>

namespace bronzecross {

ClaimDecision DecideClaim(const ClaimInputs& inputs,
                          Millis order_timeout,
                          Millis now) {
  if (inputs.m_exists && inputs.m_is_own) {
    return ClaimDecision::kHold;
  }
  if (!inputs.m_is_first) {
    return ClaimDecision::kNotHolder;
  }
  if (!inputs.m_exists) {
    return ClaimDecision::kClaim;
  }
  if (inputs.m_holder_has_lease) {
    return ClaimDecision::kNotHolder;
  }
  return now - inputs.m_lease_lost_since >= order_timeout
             ? ClaimDecision::kClaim
             : ClaimDecision::kWait;
}

bool MaySendOrder(Millis lease_expires, Millis order_timeout, Millis now) {
  return now + order_timeout < lease_expires;
}

bool HaveOthersReleased(std::span<const OtherHalf> others,
                        int64_t halves_generation,
                        Millis order_timeout,
                        Millis now) {
  return std::all_of(others.begin(), others.end(), [&](const OtherHalf& other) {
    return other.m_applied_generation >= halves_generation ||
           (!other.m_holder_has_lease &&
            now - other.m_lease_lost_since >= order_timeout);
  });
}

}  // namespace bronzecross
