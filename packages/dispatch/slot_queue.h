// The online requests of one service that wait for a slot at an upstream.

#ifndef BRONZECROSS_DISPATCH_SLOT_QUEUE_H_
#define BRONZECROSS_DISPATCH_SLOT_QUEUE_H_

#include <functional>
#include <list>
#include <set>
#include <string>

#include "aio/cancellation.h"
#include "aio/task.h"
#include "cluster/cluster_view.h"
#include "dispatch/queue_order.h"
#include "dispatch/upstream_table.h"

namespace bronzecross {

// A request that asks for a slot.
struct SlotRequest {
  QueuedRequest m_order;
  // Upstreams at which it failed before.
  std::set<std::string, std::less<>> m_excluded;
  // It waits no longer than until then.
  Millis m_give_up;
};

class SlotQueue {
 public:
  // `on_placed` is called after an online request was placed.
  SlotQueue(std::string service,
            std::string zone,
            UpstreamTable& upstreams,
            const ClusterView& cluster,
            std::function<void(Upstream&)> on_placed);

  // Waits for a slot. Returns null if none comes until the request gives up or
  // is cancelled. The slot is counted until Release().
  Task<UpstreamPtr> Acquire(SlotRequest request, Cancellation& cancellation);
  void Release(Upstream& upstream);

  // Hands out slots that have become free.
  void Dispatch();
  // How the queue looks now, over all VMs.
  QueueState GetState() const;
  int WaitingHere() const { return static_cast<int>(m_waiting.size()); }
  // Mean time that a request holds a slot; zero until one was measured.
  Millis ServiceTime() const {
    return Millis(static_cast<int64_t>(m_service_ms));
  }
  // Adds how long a request held its slot.
  void NoteServiceTime(Millis time);

 private:
  struct Waiting {
    SlotRequest m_request;
    UpstreamPtr m_assigned;
    Condition m_done;
  };

  UpstreamPtr TryPlace(const SlotRequest& request);

  std::string m_service;
  std::string m_zone;
  UpstreamTable& m_upstreams;
  const ClusterView& m_cluster;
  std::function<void(Upstream&)> m_on_placed;
  std::list<Waiting*> m_waiting;
  double m_service_ms = 0;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_DISPATCH_SLOT_QUEUE_H_
