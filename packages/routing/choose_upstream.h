// The decision which upstream serves a request.

#ifndef BRONZECROSS_ROUTING_CHOOSE_UPSTREAM_H_
#define BRONZECROSS_ROUTING_CHOOSE_UPSTREAM_H_

#include <optional>
#include <span>
#include <string_view>

#include "base/clock.h"
#include "base/random.h"

namespace bronzecross {

// What is known of one upstream that could serve the request.
struct UpstreamView {
  std::string_view m_name;
  // Requests that this VM has sent and that are not answered yet, online and
  // batch.
  int64_t m_own_in_flight = 0;
  // The same of the other VMs, as they last told.
  int64_t m_peers_in_flight = 0;
  // Online requests among both.
  int64_t m_online_in_flight = 0;
  // Requests of others than the VMs, from the load report (reported_load.h).
  double m_other_load = 0;
  // Requests that it runs at once.
  int64_t m_slots = 1;
  // Learned time of one request without waiting for a slot, in ms.
  double m_service_ms = 1;
  // Answers that any VM has had from it lately.
  int64_t m_answers = 0;
  bool m_same_zone = false;
  // Share of the prompt that it probably has in its prefix cache, 0 to 1.
  double m_prefix_match = 0;
  // The upstream that all VMs prefer for a prefix that none has seen.
  bool m_prefix_home = false;
  // It failed, may be tried again, and no request has tried it yet.
  bool m_probe_due = false;
  // This VM's preference among equals, 0 to 1. It differs between VMs, so that
  // VMs with the same late information choose differently.
  double m_preference = 0;
};

struct RouteDecision {
  size_t m_index = 0;
  // Expected time to the answer in ms, adjusted by preferences.
  double m_cost = 0;
};

// Whether a further online request would wait in the upstream. Batch requests
// do not count, as they yield.
bool IsFull(const UpstreamView& view);

// The cost that the decision gives to `view`.
double ExpectedCost(const UpstreamView& view);

// Picks the candidate with the least cost, at random among equals. Returns
// nothing if all candidates are full or there are none. While one candidate has
// a free slot, a faster one may be overfilled slightly if its cost is lower. A
// candidate whose probe is due goes first, since its cost is a guess that could
// keep it unused although it works again.
std::optional<RouteDecision> ChooseUpstream(
    std::span<const UpstreamView> candidates,
    Random& random);

}  // namespace bronzecross

#endif  // BRONZECROSS_ROUTING_CHOOSE_UPSTREAM_H_
