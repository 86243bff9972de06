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
  // Where it may run. The caller keeps the configuration that owns the lists.
  AllowedRegions m_regions;
  // The request is no longer queued after this instant.
  Millis m_wait_deadline;
  // Prompt and output tokens at most; 0: unknown.
  int64_t m_tokens = 0;
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
  // is cancelled first, and at once if no upstream is left where the request
  // may run. The slot stays in use until Release() with the tokens of the
  // request.
  Task<UpstreamPtr> Acquire(SlotRequest request, Cancellation& cancellation);
  void Release(Upstream& upstream, int64_t tokens);

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
    // No upstream is left where the request may run.
    bool m_refused = false;
    Condition m_done;
  };

  // What stands in the way of a request that isn't placed.
  struct Obstacles {
    // One of the candidates is usable and wasn't tried before.
    bool m_has_untried = false;
    // One of the candidates has a slot, but too little memory.
    bool m_lacks_memory = false;
  };

  // Returns an upstream with a slot and memory, or null. Sets the members of
  // `obstacles` that hold.
  UpstreamPtr Pick(std::span<const UpstreamPtr> candidates,
                   const SlotRequest& request,
                   Obstacles& obstacles) const;
  // Returns some of the upstreams that this VM doesn't prefer and where a
  // request with these limits may run.
  std::vector<UpstreamPtr> SampleOtherUpstreams(
      const AllowedRegions& regions) const;
  // Whether evacuations or its regions leave no upstream for the request. It
  // would wait in vain.
  bool IsBarred(const SlotRequest& request) const;
  UpstreamPtr TryPlace(const SlotRequest& request, Obstacles& obstacles);

  std::string m_service;
  std::string m_zone;
  UpstreamTable& m_upstreams;
  const ClusterView& m_cluster;
  PromptAffinity m_affinity;
  std::function<void(Upstream&)> m_on_placed;
  std::list<Waiting*> m_waiting;
  double m_service_ms = 0;
};

// Releases a slot at the end of its lifetime.
class HeldSlot {
 public:
  HeldSlot(SlotQueue& queue, Upstream& upstream, int64_t tokens)
      : m_queue(queue), m_upstream(upstream), m_tokens(tokens) {}
  ~HeldSlot() { m_queue.Release(m_upstream, m_tokens); }
  HeldSlot(const HeldSlot&) = delete;
  HeldSlot& operator=(const HeldSlot&) = delete;

 private:
  SlotQueue& m_queue;
  Upstream& m_upstream;
  int64_t m_tokens;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_DISPATCH_SLOT_QUEUE_H_
