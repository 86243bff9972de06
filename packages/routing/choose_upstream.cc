#include "routing/choose_upstream.h"

#include <algorithm>

namespace bronzecross {
namespace {

// Zones are about 1.5 ms apart, there and back twice for a new connection.
constexpr double kOtherZoneMs = 3;
// Shares of the service time. The load share spreads work over engines that
// slow down with each running request.
constexpr double kLoadShare = 0.1;
constexpr double kPreferenceShare = 0.1;
constexpr double kPrefixShare = 0.4;
constexpr double kPrefixHomeShare = 0.2;

// A new upstream counts as one with few slots until it has given answers.
double UsableSlots(const UpstreamView& view) {
  return static_cast<double>(
      std::clamp<int64_t>(view.m_answers + 1, 1, view.m_slots));
}

bool IsOverfilled(const UpstreamView& view) {
  return view.m_online_in_flight >= view.m_slots + (view.m_slots + 1) / 2;
}

}  // namespace

bool IsFull(const UpstreamView& view) {
  return static_cast<double>(view.m_online_in_flight) + view.m_other_load >=
         static_cast<double>(view.m_slots);
}

double ExpectedCost(const UpstreamView& view) {
  const double load =
      static_cast<double>(view.m_own_in_flight + view.m_peers_in_flight) +
      view.m_other_load;
  const double slots = UsableSlots(view);
  const double waiting = std::max(0.0, load + 1 - slots) / slots;
  const double prefix = kPrefixShare * view.m_prefix_match +
                        (view.m_prefix_home ? kPrefixHomeShare : 0.0);
  const double rounds = 1 + waiting +
                        kLoadShare * load / static_cast<double>(view.m_slots) +
                        kPreferenceShare * view.m_preference - prefix;
  return view.m_service_ms * rounds + (view.m_same_zone ? 0.0 : kOtherZoneMs);
}

std::optional<RouteDecision> ChooseUpstream(
    std::span<const UpstreamView> candidates,
    Random& random) {
  if (std::all_of(candidates.begin(), candidates.end(), IsFull)) {
    return std::nullopt;
  }
  std::optional<RouteDecision> best;
  uint64_t equals = 0;
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
      equals = 1;
    } else if (cost == best->m_cost && RandomBelow(random, ++equals) == 0) {
      best->m_index = i;
    }
  }
  return best;
}

}  // namespace bronzecross
