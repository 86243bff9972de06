// Queue of the online requests of one service that wait for an upstream slot.

#ifndef BRONZECROSS_DISPATCH_SLOT_QUEUE_H_
#define BRONZECROSS_DISPATCH_SLOT_QUEUE_H_

#include <functional>
#include <list>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "aio/cancellation.h"
#include "aio/task.h"
#include "cluster/cluster_view.h"
#include "dispatch/prompt_affinity.h"
#include "dispatch/queue_order.h"
#include "dispatch/upstream_table.h"

namespace bronzecross {

// A request for a slot.
struct SlotRequest {
  QueuedRequest m_order;
  // Ids of the upstreams where earlier attempts failed.
  std::set<std::string, std::less<>> m_excluded;
  // The request is no longer queued after this instant.
  Millis m_wait_deadline;
  // Parts of the prompt; empty if cached prompts don't matter.
  PromptChain m_prompt;
};

class SlotQueue {
 public:
  // `on_placed` is called after an online request has been assigned a slot.
  SlotQueue(std::string service,
            std::string zone,
            UpstreamTable& upstreams,
            const ClusterView& cluster,
            PromptAffinity affinity,
            std::function<void(Upstream&)> on_placed);

  // Waits for a slot. Returns null if the wait deadline passes or the request
  // is cancelled first. The slot stays in use until Release().
  Task<UpstreamPtr> Acquire(SlotRequest request, Cancellation& cancellation);
  void Release(Upstream& upstream);

  // Assigns free slots to the queued requests.
  void Dispatch();
  // Returns the present state of the queue, over all VMs.
  QueueState GetState() const;
  // Number of requests queued at this VM.
  int LocalQueueLength() const { return static_cast<int>(m_waiting.size()); }
  // Mean time that a request holds a slot; zero until the first measurement.
  Millis ServiceTime() const {
    return Millis(static_cast<int64_t>(m_service_ms));
  }
  // Records how long a request held its slot.
  void RecordServiceTime(Millis time);

 private:
  struct Waiting {
    SlotRequest m_request;
    UpstreamPtr m_assigned;
    Condition m_done;
  };

  // Returns an upstream with a slot, or null. Sets `has_untried` if one of the
  // candidates is usable and wasn't tried before.
  UpstreamPtr Pick(std::span<const UpstreamPtr> candidates,
                   const SlotRequest& request,
                   bool& has_untried) const;
  // Returns some of the upstreams that this VM doesn't prefer.
  std::vector<UpstreamPtr> SampleOtherUpstreams() const;
  UpstreamPtr TryPlace(const SlotRequest& request);

  std::string m_service;
  std::string m_zone;
  UpstreamTable& m_upstreams;
  const ClusterView& m_cluster;
  PromptAffinity m_affinity;
  std::function<void(Upstream&)> m_on_placed;
  std::list<Waiting*> m_waiting;
  double m_service_ms = 0;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_DISPATCH_SLOT_QUEUE_H_
