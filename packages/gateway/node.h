// State that the tasks of one gateway VM share. It must be used on the event
// loop's thread only.
//
// Any task may change it while another one is suspended. A task keeps across a
// suspension only what it owns, or what m_settings, a FleetConfigPtr, an
// UpstreamPtr or a JobPtr that it holds keeps alive and unchanged
// (docs/design.md, "What a task holds while it is suspended").

#ifndef BRONZECROSS_GATEWAY_NODE_H_
#define BRONZECROSS_GATEWAY_NODE_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "aio/connection_table.h"
#include "cluster/cluster_view.h"
#include "cluster/vm_registration.h"
#include "dispatch/crashing_part_tracker.h"
#include "dispatch/poison_request_tracker.h"
#include "dispatch/slot_queue.h"
#include "dispatch/upstream_table.h"
#include "fleet/fleet_config.h"
#include "gateway/drain_rule.h"
#include "gateway/gateway_settings.h"
#include "gateway/process_bounds.h"
#include "gateway/refusal_log.h"
#include "http1/memory_budget.h"
#include "kv/kv_session.h"
#include "prompt_cache/prompt_cache_view.h"
#include "quota/quota_manager.h"

namespace bronzecross {

class JobService;
class GossipExchange;
class PeerCalls;
class PrefixFollower;

struct Node {
  explicit Node(GatewaySettings settings);
  ~Node();

  // Returns the queue of `service`, which is created on first use.
  SlotQueue& QueueOf(std::string_view service);
  // Called when an online request was assigned to `upstream`. Preempts batch
  // work if the upstream is over its slot count, and sends gossip early if it
  // is nearly full.
  void OnPlaced(Upstream& upstream);
  // Makes `config` the current configuration if it is newer than the present
  // one.
  void InstallConfig(FleetConfigPtr config, int64_t revision);
  // Assigns free slots to waiting requests in the queues of all services.
  void DispatchAll();
  // Returns the follower of the keys with `prefix`, or null if there is none.
  PrefixFollower* FindFollower(std::string_view prefix);
  // Waits until the first configuration and the first list of VMs have been
  // read and one of these VMs has been heard from, because connections are
  // accepted slightly earlier. Stops waiting
  // 400 ms after the start, so that a VM that can't reach the store rejects
  // requests without further delay.
  Task<> WaitUntilConfigured();
  // Returns the limits of the current configuration, or the defaults until the
  // first configuration has been read.
  const CallerLimits& Limits() const;
  // Returns what counts the connections that `listener` closes to make room.
  std::function<void()> ConnectionCloser(std::string_view listener);
  // Counts a request that was refused because of a bound, if one was.
  void CountRefusal(ReadFault fault);
  // Ends the requests in progress, each with a response that says whether it
  // may have run.
  void EndRequests();
  // Returns whether the load balancer may send callers to this VM.
  bool IsReady() const;

  // As of the start.
  const GatewaySettings m_settings;
  LiveSettings m_live_settings;
  const MachineLimits m_machine = ReadMachineLimits();
  const ConnectionBounds m_connection_bounds;
  RefusalLog m_refusals;
  // What this VM holds for connections on its listening ports, and these
  // connections by listener.
  MemoryBudget m_budget;
  ConnectionTable m_caller_table;
  ConnectionTable m_peer_table;
  ConnectionTable m_readiness_table;
  ConnectionTable m_metrics_table;
  KvSession m_kv;
  ClusterView m_cluster;
  VmRegistration m_registration;
  // Null until the first configuration has been read.
  FleetConfigPtr m_config;
  Millis m_config_since;  // when m_config was installed
  // Notified when a configuration is installed, a list of VMs is read, or
  // gossip arrives.
  Condition m_configured;
  UpstreamTable m_upstreams;
  QuotaManager m_quotas;
  PoisonRequestTracker m_poison_requests;
  CrashingPartTracker m_crashing_parts;
  // Empty unless prompt affinity is on.
  PromptCacheView m_prompt_cache;
  std::map<std::string, SlotQueue, std::less<>> m_queues;

  // Owned by Gateway, which sets them before any task runs.
  GossipExchange* m_gossip = nullptr;
  JobService* m_jobs = nullptr;
  PeerCalls* m_peer_calls = nullptr;
  PrefixFollower* m_operator_follower = nullptr;
  PrefixFollower* m_upstream_follower = nullptr;
  PrefixFollower* m_vm_follower = nullptr;

  const Millis m_started = MonotonicNow();
  // When the drain started; zero before that.
  Millis m_draining_since;
  Condition m_drain_started;
  DrainTimes m_drain;  // set with m_draining_since
  // Whether the drain has ended: requests in progress end with a response at
  // once.
  bool m_is_stopping = false;
  // What to notify when m_is_stopping is set, one for each connection that is
  // being served.
  std::set<Condition*> m_served_callers;
  int m_caller_connections = 0;  // open connections of callers
  int m_requests_in_progress = 0;
  // Size of the large responses that are read before they are relayed.
  size_t m_buffered_bytes = 0;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_NODE_H_
