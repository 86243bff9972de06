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
  // Requests that this VM has sent and that are not answered yet.
  int64_t m_own_in_flight = 0;
  // The same of the other VMs, as they last told.
  int64_t m_peers_in_flight = 0;
  // Requests that the upstream last reported as running or waiting, and when.
  int64_t m_reported = 0;
  Millis m_reported_at;
  // Requests that it runs at once, and its relative speed.
  int64_t m_slots = 1;
  double m_speed = 1;
  bool m_same_zone = false;
};

struct RouteDecision {
  size_t m_index = 0;
  // Expected waiting and running time in units of one request's time on an
  // upstream of speed 1.
  double m_cost = 0;
};

// The cost that the decision gives to `view`.
double ExpectedCost(const UpstreamView& view, Millis now);

// Picks the candidate with the least cost, at random among equals. Returns
// nothing if there are no candidates.
std::optional<RouteDecision> ChooseUpstream(
    std::span<const UpstreamView> candidates,
    Millis now,
    Random& random);

}  // namespace bronzecross

#endif  // BRONZECROSS_ROUTING_CHOOSE_UPSTREAM_H_
