#include "dispatch/pick_upstream.h"

#include <algorithm>

namespace bronzecross {
namespace {

// Cost of taking a slot from batch work, in slots: the engine needs a moment to
// end the other request.
constexpr double kPreemptCost = 0.5;

// Cost of crossing zones, in slots.
constexpr double kZoneCost = 0.06;

// Random part of the cost, in slots. It keeps VMs with the same late news from
// choosing alike.
constexpr double kJitter = 0.12;

// Used for an upstream without measurements if no other has any.
constexpr double kDefaultWorkMs = 30;

// An upstream with so few free slots is told of at once.
constexpr int kTellAtFreeSlots = 2;

double MeanWork(std::span<const UpstreamLoad> loads) {
  double sum = 0;
  int count = 0;
  for (const UpstreamLoad& load : loads) {
    if (load.m_work_ms > 0) {
      sum += load.m_work_ms;
      ++count;
    }
  }
  return count == 0 ? kDefaultWorkMs : sum / count;
}

}  // namespace

bool IsWorthTelling(int total, int slots) {
  return total + kTellAtFreeSlots >= slots;
}

std::optional<size_t> PickUpstream(std::span<const UpstreamLoad> loads,
                                   Random& random) {
  const double mean = MeanWork(loads);
  std::optional<size_t> best;
  double best_cost = 0;
  for (size_t i = 0; i < loads.size(); ++i) {
    const UpstreamLoad& load = loads[i];
    // Batch keeps at most half of an upstream from online requests.
    const int kept = std::min(load.m_urgent, load.m_slots / 2);
    if (!load.m_usable || load.m_online + kept >= load.m_slots) {
      continue;
    }
    const double speed = mean / (load.m_work_ms > 0 ? load.m_work_ms : mean);
    const bool preempts = load.m_online + load.m_batch >= load.m_slots;
    const double busy =
        std::min(load.m_online + load.m_batch, load.m_slots) + 1.0;
    double cost = busy / (load.m_slots * speed);
    cost += (preempts ? kPreemptCost : 0) / load.m_slots;
    cost += (load.m_same_zone ? 0 : kZoneCost) / load.m_slots;
    cost += kJitter * RandomUnit(random) / load.m_slots;
    if (!best || cost < best_cost) {
      best = i;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace bronzecross
