#include "dispatch/slot_queue.h"

#include <algorithm>

#include "aio/wait.h"
#include "base/random.h"

namespace bronzecross {
namespace {

// Weight of a new measurement in the moving average of service times.
constexpr double kNewWeight = 0.05;

// Number of upstreams of other VM groups that are considered for a request, and
// that are examined to find them.
constexpr size_t kMaxSample = 16;
constexpr size_t kMaxExamined = 64;

int CountSlots(std::span<const UpstreamPtr> upstreams, Millis now) {
  int slots = 0;
  for (const UpstreamPtr& upstream : upstreams) {
    const bool is_usable =
        upstream->TakesRequests() &&
        IsHealthy(upstream->m_health, kFirstByteTimeout, now);
    slots += is_usable ? upstream->m_entry.m_slots : 0;
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
                            bool& has_untried) const {
  const Millis now = MonotonicNow();
  std::vector<CandidateLoad> loads = GetLoads(candidates, m_zone, now);
  for (size_t i = 0; i < loads.size(); ++i) {
    loads[i].m_usable = loads[i].m_usable && !request.m_excluded.contains(
                                                 candidates[i]->m_entry.m_id);
    has_untried = has_untried || loads[i].m_usable;
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
  return choice ? candidates[*choice] : nullptr;
}

std::vector<UpstreamPtr> SlotQueue::SampleOtherUpstreams() const {
  const std::vector<UpstreamPtr>& all = m_upstreams.OfService(m_service);
  std::vector<UpstreamPtr> sample;
  if (all.size() == m_upstreams.SubsetOf(m_service).size()) {
    return sample;
  }
  const size_t start = RandomBelow(ThreadRandom(), all.size());
  for (size_t i = 0;
       i < std::min(all.size(), kMaxExamined) && sample.size() < kMaxSample;
       ++i) {
    const UpstreamPtr& upstream = all[(start + i) % all.size()];
    if (!upstream->m_in_subset) {
      sample.push_back(upstream);
    }
  }
  return sample;
}

UpstreamPtr SlotQueue::TryPlace(const SlotRequest& request) {
  const std::vector<UpstreamPtr>& subset = m_upstreams.SubsetOf(m_service);
  bool has_untried = false;
  UpstreamPtr upstream = Pick(subset, request, has_untried);
  // The load that other VM groups put on the remaining upstreams is unknown,
  // but an estimate is better than waiting.
  std::vector<UpstreamPtr> others;
  if (upstream == nullptr) {
    others = SampleOtherUpstreams();
    upstream = Pick(others, request, has_untried);
  }
  // Upstreams that were already tried are used again only if there is no other.
  if (upstream == nullptr && !has_untried && !request.m_excluded.empty()) {
    SlotRequest any = request;
    any.m_excluded.clear();
    upstream = Pick(subset, any, has_untried);
    if (upstream == nullptr) {
      upstream = Pick(others, any, has_untried);
    }
  }
  if (upstream == nullptr) {
    return nullptr;
  }
  ++upstream->m_online;
  m_upstreams.MarkInUse(upstream);
  m_on_placed(*upstream);
  return upstream;
}

Task<UpstreamPtr> SlotQueue::Acquire(SlotRequest request,
                                     Cancellation& cancellation) {
  if (m_waiting.empty()) {
    UpstreamPtr upstream = TryPlace(request);
    if (upstream != nullptr) {
      co_return upstream;
    }
  }
  Waiting waiting;
  waiting.m_request = std::move(request);
  const Millis wait_deadline = waiting.m_request.m_wait_deadline;
  m_waiting.push_back(&waiting);
  Dispatch();
  while (waiting.m_assigned == nullptr && !cancellation.IsCancelled() &&
         MonotonicNow() < wait_deadline) {
    WaitAny wait(wait_deadline);
    wait.Add(waiting.m_done);
    wait.Add(cancellation.Changed());
    co_await wait;
  }
  m_waiting.remove(&waiting);
  co_return waiting.m_assigned;
}

void SlotQueue::Release(Upstream& upstream) {
  --upstream.m_online;
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
    waiting->m_assigned = TryPlace(waiting->m_request);
    if (waiting->m_assigned != nullptr) {
      waiting->m_done.NotifyAll();
    } else if (waiting->m_request.m_excluded.empty()) {
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
  state.m_slots = CountSlots(m_upstreams.SubsetOf(m_service), now);
  if (state.m_slots == 0) {
    state.m_slots = CountSlots(m_upstreams.OfService(m_service), now);
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
