// Selects the few VMs that send requests to a cold upstream, and at which rate.
// No VM asks another one: views of the fleet may differ for a while, and the
// requests of all VMs together must stay within the bound nevertheless.

#ifndef BRONZECROSS_PLACEMENT_COLD_SENDERS_H_
#define BRONZECROSS_PLACEMENT_COLD_SENDERS_H_

#include <span>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "placement/cold_state.h"
#include "placement/placement_settings.h"

namespace bronzecross {

// Number of VMs by which the senders may differ between the views of all VMs.
inline constexpr int kSpareColdSenders = 2;

// A VM that is registered in the store.
struct SenderCandidate {
  std::string_view m_id;
  std::string_view m_zone;
};

// The senders to each cold upstream of a service.
struct ColdSendPlan {
  int m_senders = 0;
  double m_per_s = 0;  // of one sender; zero: it must not send
  bool operator==(const ColdSendPlan&) const = default;
};

// Returns the number of requests that one cold upstream may get within a
// second.
double ColdBound(const ColdLimits& limits, const PlacementSettings& settings);

// Returns the plan with the highest total rate for a fleet of `vms`. A sender
// with a burst of one request sends at most m_per_s + 1 of them in a second, so
// m_senders + kSpareColdSenders of them stay within `bound`.
ColdSendPlan PlanColdSends(double bound, int vms);

// Returns the first `count` VMs in the order of the upstream: those of its zone
// first, then by rendezvous hash.
std::vector<std::string_view> ColdSenders(std::string_view upstream,
                                          std::string_view zone,
                                          std::span<const SenderCandidate> vms,
                                          int count);

// Paces the requests of this VM to one cold upstream: a token bucket with a
// burst of one, which is empty when the VM becomes a sender.
struct ColdPacer {
  double m_per_s = 0;  // zero: this VM is no sender
  Millis m_next;       // no request before this instant
};

// Changes the rate. The next request waits for a whole interval, so that a VM
// that has just become a sender doesn't add to a burst, and at least for
// `first_delay`.
void SetColdRate(ColdPacer& pacer,
                 double per_s,
                 Millis now,
                 Millis first_delay = Millis());
bool HasColdToken(const ColdPacer& pacer, Millis now);
void TakeColdToken(ColdPacer& pacer, Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_PLACEMENT_COLD_SENDERS_H_
