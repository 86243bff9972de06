#include "routing/choose_upstream.h"

#include <algorithm>

namespace bronzecross {
namespace {

// An older load report says nothing about the present.
constexpr Millis kReportLife{2000};
constexpr double kOtherZoneCost = 0.02;

}  // namespace

double ExpectedCost(const UpstreamView& view, Millis now) {
  // The report counts requests that the VMs' own counts contain as well, so the
  // larger of the two is taken, not the sum.
  const Millis age = now - view.m_reported_at;
  const double fresh =
      std::clamp(1.0 - age.Seconds() / kReportLife.Seconds(), 0.0, 1.0);
  const double sent =
      static_cast<double>(view.m_own_in_flight + view.m_peers_in_flight);
  const double reported = fresh * static_cast<double>(view.m_reported);
  const double load = std::max(sent, reported) + 1;
  const double slots = static_cast<double>(view.m_slots);
  const double rounds = std::max(1.0, load / slots) + 0.1 * load / slots;
  return rounds / view.m_speed + (view.m_same_zone ? 0.0 : kOtherZoneCost);
}

std::optional<RouteDecision> ChooseUpstream(
    std::span<const UpstreamView> candidates,
    Millis now,
    Random& random) {
  std::optional<RouteDecision> best;
  uint64_t equals = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const double cost = ExpectedCost(candidates[i], now);
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
