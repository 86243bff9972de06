#include "dispatch/slot_queue.h"

#include <algorithm>

#include "aio/wait.h"
#include "base/metrics.h"
#include "base/random.h"

namespace bronzecross {
namespace {

// Weight of a new measurement in the moving average of service times.
constexpr double kNewWeight = 0.05;

// Number of upstreams of other VM groups that are considered for a request, and
// that are examined to find them.
constexpr size_t kMaxSample = 16;
constexpr size_t kMaxExamined = 64;

// Returns the slots of an upstream. A cold one counts with what this VM may
// send there while a request holds a slot.
int UsableSlots(const Upstream& upstream, double service_ms, Millis now) {
  if (!upstream.IsColdAt(now)) {
    return upstream.m_entry.m_slots;
  }
  const double per_s = upstream.m_cold_pacer.m_per_s;
  return per_s <= 0 ? 0
                    : std::clamp(static_cast<int>(per_s * service_ms / 1'000),
                                 1, upstream.m_entry.m_slots);
}

int CountSlots(std::span<const UpstreamPtr> upstreams,
               double service_ms,
               Millis now) {
  int slots = 0;
  for (const UpstreamPtr& upstream : upstreams) {
    slots += IsAvailable(*upstream, now)
                 ? UsableSlots(*upstream, service_ms, now)
                 : 0;
  }
  return slots;
}

}  // namespace

SlotQueue::SlotQueue(std::string service,
                     std::string zone,
                     UpstreamTable& upstreams,
                     const ClusterView& cluster,
                     PromptAffinity affinity,
                     std::function<void(Upstream&)> on_placed)
    : m_service(std::move(service)),
      m_zone(std::move(zone)),
      m_upstreams(upstreams),
      m_cluster(cluster),
      m_affinity(affinity),
      m_on_placed(std::move(on_placed)) {}

UpstreamPtr SlotQueue::Pick(std::span<const UpstreamPtr> candidates,
                            const SlotRequest& request,
                            Obstacles& obstacles) const {
  const Millis now = MonotonicNow();
  std::vector<CandidateLoad> loads =
      GetLoads(candidates, m_zone, now, request.m_regions);
  bool is_held = false;
  for (size_t i = 0; i < loads.size(); ++i) {
    loads[i].m_usable = loads[i].m_usable && !request.m_excluded.contains(
                                                 candidates[i]->m_entry.m_id);
    is_held = is_held || loads[i].m_cold_held;
    obstacles.m_has_untried = obstacles.m_has_untried || loads[i].m_usable;
    if (loads[i].m_usable && !FitsMemory(loads[i], request.m_tokens)) {
      obstacles.m_lacks_memory =
          obstacles.m_lacks_memory || HasOnlineSlot(loads[i]);
      loads[i].m_usable = false;
    }
  }
  if (!request.m_prompt.empty()) {
    std::vector<uint32_t> run_keys;
    run_keys.reserve(candidates.size());
    for (const UpstreamPtr& candidate : candidates) {
      run_keys.push_back(candidate->m_run_key);
    }
    SetSavings(m_affinity, run_keys, request.m_prompt, loads, now);
  }
  const std::optional<size_t> choice = PickUpstream(loads, ThreadRandom());
  if (!choice && is_held) {
    CountMetric("bronzecross_cold_holds_total");
  }
  return choice ? candidates[*choice] : nullptr;
}

std::vector<UpstreamPtr> SlotQueue::SampleOtherUpstreams(
    const AllowedRegions& regions) const {
  const std::vector<UpstreamPtr>& all = m_upstreams.OfService(m_service);
  std::vector<UpstreamPtr> sample;
  if (all.size() == m_upstreams.SubsetOf(m_service).size()) {
    return sample;
  }
  const size_t start = RandomBelow(ThreadRandom(), all.size());
  // Few of the upstreams may be in a region of the request.
  const size_t examined =
      regions.IsLimited() ? all.size() : std::min(all.size(), kMaxExamined);
  for (size_t i = 0; i < examined && sample.size() < kMaxSample; ++i) {
    const UpstreamPtr& upstream = all[(start + i) % all.size()];
    if (!upstream->m_in_subset &&
        IsAllowedRegion(upstream->m_region, regions)) {
      sample.push_back(upstream);
    }
  }
  return sample;
}

UpstreamPtr SlotQueue::TryPlace(const SlotRequest& request,
                                Obstacles& obstacles) {
  const Millis now = MonotonicNow();
  if (m_upstreams.IsHeldAt(now)) {
    return nullptr;
  }
  const std::vector<UpstreamPtr>& subset = m_upstreams.SubsetOf(m_service);
  UpstreamPtr upstream = Pick(subset, request, obstacles);
  // The load that other VM groups put on the remaining upstreams is unknown,
  // but an estimate is better than waiting.
  std::vector<UpstreamPtr> others;
  if (upstream == nullptr) {
    others = SampleOtherUpstreams(request.m_regions);
    upstream = Pick(others, request, obstacles);
  }
  // Upstreams that were already tried are used again only if there is no other.
  if (upstream == nullptr && !obstacles.m_has_untried &&
      !request.m_excluded.empty()) {
    SlotRequest any = request;
    any.m_excluded.clear();
    upstream = Pick(subset, any, obstacles);
    if (upstream == nullptr) {
      upstream = Pick(others, any, obstacles);
    }
  }
  if (upstream == nullptr) {
    return nullptr;
  }
  RecordColdSend(*upstream, now);
  ++upstream->m_online;
  upstream->m_tokens += request.m_tokens;
  m_upstreams.MarkInUse(upstream);
  m_on_placed(*upstream);
  return upstream;
}

bool SlotQueue::IsBarred(const SlotRequest& request) const {
  const bool is_limited = request.m_regions.IsLimited();
  if (m_upstreams.Evacuations().Count() == 0 && !is_limited) {
    return false;
  }
  bool is_barred = is_limited;
  for (const UpstreamPtr& upstream : m_upstreams.OfService(m_service)) {
    const bool is_allowed =
        IsAllowedRegion(upstream->m_region, request.m_regions);
    if (is_allowed && upstream->TakesRequests()) {
      return false;
    }
    is_barred = is_barred || upstream->m_evacuated;
  }
  return is_barred;
}

Task<UpstreamPtr> SlotQueue::Acquire(SlotRequest request,
                                     Cancellation& cancellation) {
  if (m_waiting.empty()) {
    Obstacles obstacles;
    UpstreamPtr upstream = TryPlace(request, obstacles);
    if (upstream != nullptr) {
      co_return upstream;
    }
    if (obstacles.m_lacks_memory) {
      CountMetric("bronzecross_requests_without_memory_total");
    }
  }
  if (IsBarred(request)) {
    co_return nullptr;
  }
  Waiting waiting;
  waiting.m_request = std::move(request);
  const Millis wait_deadline = waiting.m_request.m_wait_deadline;
  m_waiting.push_back(&waiting);
  Dispatch();
  while (waiting.m_assigned == nullptr && !waiting.m_refused &&
         !cancellation.IsCancelled() && MonotonicNow() < wait_deadline) {
    WaitAny wait(wait_deadline);
    wait.Add(waiting.m_done);
    wait.Add(cancellation.Changed());
    co_await wait;
  }
  m_waiting.remove(&waiting);
  co_return waiting.m_assigned;
}

void SlotQueue::Release(Upstream& upstream, int64_t tokens) {
  --upstream.m_online;
  upstream.m_tokens -= tokens;
  Dispatch();
}

void SlotQueue::Dispatch() {
  if (m_waiting.empty()) {
    return;
  }
  const Millis now = MonotonicNow();
  m_waiting.sort([now](const Waiting* a, const Waiting* b) {
    return GoesBefore(a->m_request.m_order, b->m_request.m_order, now);
  });
  for (Waiting* waiting : m_waiting) {
    if (waiting->m_assigned != nullptr) {
      continue;
    }
    Obstacles obstacles;
    waiting->m_assigned = TryPlace(waiting->m_request, obstacles);
    if (waiting->m_assigned != nullptr) {
      waiting->m_done.NotifyAll();
    } else if (IsBarred(waiting->m_request)) {
      waiting->m_refused = true;
      waiting->m_done.NotifyAll();
    } else if (waiting->m_request.m_excluded.empty() &&
               !waiting->m_request.m_regions.IsLimited() &&
               !obstacles.m_lacks_memory) {
      // A request that only lacks memory doesn't hold up smaller ones.
      return;
    }
  }
}

QueueState SlotQueue::GetState() const {
  const Millis now = MonotonicNow();
  QueueState state;
  state.m_waiting = LocalQueueLength();
  const uint32_t service = ShortHash(m_service);
  m_cluster.ForEachGroupPeer([&](std::string_view, const PeerVm& peer) {
    if (!IsRecentlySeen(peer, now, kMaxGossipAge)) {
      return;
    }
    for (const OnlineQueue& queue : peer.m_gossip.m_queues) {
      state.m_waiting += queue.m_service == service ? queue.m_waiting : 0;
    }
  });
  // The requests counted above are those of this VM's group, so they are
  // compared with the slots of its subset.
  state.m_slots =
      CountSlots(m_upstreams.SubsetOf(m_service), m_service_ms, now);
  if (state.m_slots == 0) {
    state.m_slots =
        CountSlots(m_upstreams.OfService(m_service), m_service_ms, now);
  }
  state.m_service_ms = m_service_ms;
  return state;
}

void SlotQueue::RecordServiceTime(Millis time) {
  const double ms = static_cast<double>(time.count());
  m_service_ms = m_service_ms == 0
                     ? ms
                     : m_service_ms * (1 - kNewWeight) + ms * kNewWeight;
}

}  // namespace bronzecross
