#include "routing/choose_upstream.h"

#include <algorithm>

namespace bronzecross {
namespace {

// Zones are about 1.5 ms apart; a new connection takes two round trips.
constexpr double kOtherZoneMs = 3;
// Weights as fractions of the service time. The load weight spreads work over
// engines that slow down with each running request.
constexpr double kLoadWeight = 0.1;
constexpr double kPreferenceWeight = 0.1;
constexpr double kPrefixWeight = 0.4;
constexpr double kPrefixOwnerWeight = 0.2;

// Slow start: a new upstream counts as having few slots until it has responded.
double UsableSlots(const UpstreamView& view) {
  return static_cast<double>(
      std::clamp<int64_t>(view.m_responses + 1, 1, view.m_slots));
}

bool IsOverfilled(const UpstreamView& view) {
  return view.m_online_in_flight >= view.m_slots + (view.m_slots + 1) / 2;
}

}  // namespace

bool IsFull(const UpstreamView& view) {
  return static_cast<double>(view.m_online_in_flight) + view.m_external_load >=
         static_cast<double>(view.m_slots);
}

double ExpectedCost(const UpstreamView& view) {
  const double load =
      static_cast<double>(view.m_own_in_flight + view.m_peers_in_flight) +
      view.m_external_load;
  const double slots = UsableSlots(view);
  const double waiting = std::max(0.0, load + 1 - slots) / slots;
  const double prefix = kPrefixWeight * view.m_prefix_match +
                        (view.m_is_prefix_owner ? kPrefixOwnerWeight : 0.0);
  const double relative_cost =
      1 + waiting + kLoadWeight * load / static_cast<double>(view.m_slots) +
      kPreferenceWeight * view.m_preference - prefix;
  return view.m_service_ms * relative_cost +
         (view.m_same_zone ? 0.0 : kOtherZoneMs);
}

std::optional<RouteDecision> ChooseUpstream(
    std::span<const UpstreamView> candidates,
    Random& random) {
  if (std::all_of(candidates.begin(), candidates.end(), IsFull)) {
    return std::nullopt;
  }
  std::optional<RouteDecision> best;
  uint64_t ties = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (IsOverfilled(candidates[i])) {
      continue;
    }
    const double cost = ExpectedCost(candidates[i]);
    if (candidates[i].m_probe_due) {
      return RouteDecision{i, cost};
    }
    if (!best || cost < best->m_cost) {
      best = RouteDecision{i, cost};
      ties = 1;
    } else if (cost == best->m_cost && RandomBelow(random, ++ties) == 0) {
      best->m_index = i;
    }
  }
  return best;
}

}  // namespace bronzecross
