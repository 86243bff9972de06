#include "dispatch/slot_queue.h"

#include <algorithm>
#include <vector>

#include "aio/wait.h"
#include "base/random.h"
#include "dispatch/pick_upstream.h"

namespace bronzecross {
namespace {

// Weight of a new measurement in the moving average of service times.
constexpr double kNewWeight = 0.05;

}  // namespace

SlotQueue::SlotQueue(std::string service,
                     std::string zone,
                     UpstreamTable& upstreams,
                     const ClusterView& cluster,
                     std::function<void(Upstream&)> on_placed)
    : m_service(std::move(service)),
      m_zone(std::move(zone)),
      m_upstreams(upstreams),
      m_cluster(cluster),
      m_on_placed(std::move(on_placed)) {}

UpstreamPtr SlotQueue::TryPlace(const SlotRequest& request) {
  const Millis now = MonotonicNow();
  const std::vector<UpstreamPtr>& candidates = m_upstreams.OfService(m_service);
  std::vector<UpstreamLoad> loads;
  loads.reserve(candidates.size());
  bool has_untried = false;
  for (const UpstreamPtr& upstream : candidates) {
    UpstreamLoad load;
    load.m_slots = upstream->m_entry.m_slots;
    load.m_online = upstream->Online();
    load.m_batch = upstream->Batch();
    load.m_urgent = upstream->Urgent();
    load.m_work_ms = upstream->m_work_ms;
    load.m_same_zone = upstream->m_entry.m_zone == m_zone;
    load.m_usable = upstream->TakesRequests() &&
                    IsHealthy(upstream->m_health, kFirstByteTimeout, now);
    has_untried =
        has_untried ||
        (load.m_usable && !request.m_excluded.contains(upstream->m_entry.m_id));
    loads.push_back(load);
  }
  // Upstreams that were already tried are used again only if there is no other.
  for (size_t i = 0; has_untried && i < loads.size(); ++i) {
    loads[i].m_usable = loads[i].m_usable && !request.m_excluded.contains(
                                                 candidates[i]->m_entry.m_id);
  }
  std::vector<UpstreamLoad> subset = loads;
  for (size_t i = 0; i < subset.size(); ++i) {
    subset[i].m_usable = subset[i].m_usable && candidates[i]->m_in_subset;
  }
  std::optional<size_t> choice = PickUpstream(subset, ThreadRandom());
  // The load that other VM groups put on the remaining upstreams is unknown,
  // but an estimate is better than waiting.
  if (!choice) {
    choice = PickUpstream(loads, ThreadRandom());
  }
  if (!choice) {
    return nullptr;
  }
  const UpstreamPtr& upstream = candidates[*choice];
  ++upstream->m_online;
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
  for (auto entry = m_cluster.Peers().begin(); entry != m_cluster.Peers().end();
       ++entry) {
    const PeerVm& peer = entry->second;
    if (!IsRecentlySeen(peer, now, kMaxGossipAge)) {
      continue;
    }
    for (const OnlineQueue& queue : peer.m_gossip.m_queues) {
      state.m_waiting += queue.m_service == service ? queue.m_waiting : 0;
    }
  }
  int subset_slots = 0;
  for (const UpstreamPtr& upstream : m_upstreams.OfService(m_service)) {
    if (upstream->TakesRequests() &&
        IsHealthy(upstream->m_health, kFirstByteTimeout, now)) {
      state.m_slots += upstream->m_entry.m_slots;
      subset_slots += upstream->m_in_subset ? upstream->m_entry.m_slots : 0;
    }
  }
  // The requests counted above are those of this VM's group, so they are
  // compared with the slots of its subset.
  state.m_slots = subset_slots > 0 ? subset_slots : state.m_slots;
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
