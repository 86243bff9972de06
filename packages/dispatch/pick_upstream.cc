#include "dispatch/pick_upstream.h"

#include <algorithm>

namespace bronzecross {
namespace {

// Cost of preempting batch work, in slots: the engine needs some time to stop
// the batch request.
constexpr double kPreemptCost = 0.5;

// Cost of a request to another zone, in slots.
constexpr double kZoneCost = 0.06;

// Cost of a request to a cold upstream, in slots: it is slow for some seconds.
constexpr double kColdCost = 1;

// Maximum random part of the cost, in slots. It keeps VMs with the same
// outdated load data from all picking the same upstream.
constexpr double kJitter = 0.12;

// Maximum saving by cached prompts, in slots. An upstream that is busier by
// more than one request never wins by them, so that a popular prompt spreads to
// as many upstreams as its load needs.
constexpr double kMaxSaving = 1;

// Used if no upstream has a measured work time.
constexpr double kDefaultWorkMs = 30;

// The load of an upstream with at most this many free slots is announced to the
// other VMs at once.
constexpr int kAnnounceAtFreeSlots = 2;

// A machine that is faster than usual counts as usual, since all VMs that learn
// of it would use it at once. The upper bound keeps a slow one in use when the
// others are nearly full.
constexpr double kMinMachinePercent = 100;
constexpr double kMaxMachinePercent = 400;

// Cost of each request of unknown VMs at an upstream of the own subset, and of
// all of them, in slots. It only breaks ties: such a request may be one of the
// own group that the gossip hasn't told yet.
constexpr double kExtraTieCost = 0.02;
constexpr double kMaxExtraTieCost = 0.1;

// Whether `a` is preferred to `b`, whatever they cost.
std::optional<bool> PrefersByClass(const CandidateLoad& a,
                                   const CandidateLoad& b) {
  if (a.m_slow != b.m_slow) {
    return b.m_slow;
  }
  return std::nullopt;
}

double MeanWork(std::span<const CandidateLoad> loads) {
  double sum = 0;
  int count = 0;
  for (const CandidateLoad& load : loads) {
    if (load.m_work_ms > 0) {
      sum += load.m_work_ms;
      ++count;
    }
  }
  return count == 0 ? kDefaultWorkMs : sum / count;
}

}  // namespace

bool HasOnlineSlot(const CandidateLoad& load) {
  // Urgent batch items may block at most half of the slots for online requests.
  const int reserved = std::min(load.m_urgent, load.m_slots / 2);
  return load.m_online + reserved < load.m_slots;
}

bool ShouldAnnounceLoad(int total, int slots) {
  return total + kAnnounceAtFreeSlots >= slots;
}

std::optional<size_t> PickUpstream(std::span<const CandidateLoad> loads,
                                   Random& random) {
  const double mean = MeanWork(loads);
  std::optional<size_t> best;
  double best_cost = 0;
  for (size_t i = 0; i < loads.size(); ++i) {
    const CandidateLoad& load = loads[i];
    if (!load.m_usable || !HasOnlineSlot(load)) {
      continue;
    }
    const double machine = std::clamp(load.m_machine_percent,
                                      kMinMachinePercent, kMaxMachinePercent) /
                           kMinMachinePercent;
    const double speed =
        mean / ((load.m_work_ms > 0 ? load.m_work_ms : mean) * machine);
    const bool preempts = load.m_online + load.m_batch >= load.m_slots;
    const double counted = load.m_online + load.m_batch +
                           (load.m_in_subset ? 0 : load.m_reported_extra);
    const double busy =
        std::min(counted, static_cast<double>(load.m_slots)) + 1.0;
    double cost = busy / (load.m_slots * speed);
    if (load.m_in_subset) {
      cost +=
          std::min(kExtraTieCost * load.m_reported_extra, kMaxExtraTieCost) /
          load.m_slots;
    }
    cost += (preempts ? kPreemptCost : 0) / load.m_slots;
    cost += (load.m_same_zone ? 0 : kZoneCost) / load.m_slots;
    cost += (load.m_cold ? kColdCost : 0) / load.m_slots;
    cost += kJitter * RandomUnit(random) / load.m_slots;
    cost -= std::min(load.m_saved_ms / mean, kMaxSaving) / load.m_slots;
    const bool is_better =
        !best || PrefersByClass(load, loads[*best]).value_or(cost < best_cost);
    if (is_better) {
      best = i;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace bronzecross
