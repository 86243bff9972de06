// Selects the upstream that serves a request.

#ifndef BRONZECROSS_ROUTING_CHOOSE_UPSTREAM_H_
#define BRONZECROSS_ROUTING_CHOOSE_UPSTREAM_H_

#include <optional>
#include <span>
#include <string_view>

#include "base/clock.h"
#include "base/random.h"

namespace bronzecross {

// State of one candidate upstream, as known to this VM.
struct UpstreamView {
  std::string_view m_name;
  // Requests that this VM has in flight, online and batch.
  int64_t m_own_in_flight = 0;
  // Requests that the other VMs have in flight, as last reported by gossip.
  int64_t m_peers_in_flight = 0;
  // Online requests included in both counts.
  int64_t m_online_in_flight = 0;
  // Requests that do not come from the VMs, estimated from the load reports
  // (reported_load.h).
  double m_external_load = 0;
  // Maximum number of requests that it runs concurrently.
  int64_t m_slots = 1;
  // Estimated service time of one request in ms, without waiting for a slot.
  double m_service_ms = 1;
  // Recent responses from it, counted over all VMs.
  int64_t m_responses = 0;
  bool m_same_zone = false;
  // Estimated fraction of the prompt in its prefix cache, 0 to 1.
  double m_prefix_match = 0;
  // All VMs prefer this upstream for a prefix that no upstream has cached.
  bool m_is_prefix_owner = false;
  // Its circuit breaker is half-open and no probe has been sent yet.
  bool m_probe_due = false;
  // Tie-breaking cost of the upstream, 0 to 1. It differs between VMs, so that
  // VMs with the same outdated load data choose differently.
  double m_preference = 0;
};

struct RouteDecision {
  size_t m_index = 0;
  // Expected response time in ms, adjusted for load, preference and prefixes.
  double m_cost = 0;
};

// Returns true if another online request would have to wait at the upstream.
// Batch requests are not counted, since online requests preempt them.
bool IsFull(const UpstreamView& view);

// Returns the cost by which ChooseUpstream() compares candidates.
double ExpectedCost(const UpstreamView& view);

// Picks the candidate with the lowest cost; ties are broken at random. Returns
// std::nullopt if there are no candidates or all are full. If at least one
// candidate has a free slot, a faster one may be filled slightly beyond its
// slots if its cost is lower. A candidate whose probe is due is picked first,
// since its cost is an estimate that could leave it unused after it recovered.
std::optional<RouteDecision> ChooseUpstream(
    std::span<const UpstreamView> candidates,
    Random& random);

}  // namespace bronzecross

#endif  // BRONZECROSS_ROUTING_CHOOSE_UPSTREAM_H_
