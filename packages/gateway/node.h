// What the tasks of one gateway VM share. All of it is used on the event loop's
// thread only.

#ifndef BRONZECROSS_GATEWAY_NODE_H_
#define BRONZECROSS_GATEWAY_NODE_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "cluster/cluster_view.h"
#include "cluster/vm_registration.h"
#include "dispatch/break_book.h"
#include "dispatch/slot_queue.h"
#include "dispatch/upstream_table.h"
#include "fleet/fleet_config.h"
#include "gateway/gateway_settings.h"
#include "kv/kv_session.h"
#include "quota/quota_manager.h"

namespace bronzecross {

class JobService;
class NewsExchange;
class PeerCalls;
class PrefixFollower;

struct Node {
  explicit Node(GatewaySettings settings);
  ~Node();

  // The queue of `service`, made at its first use.
  SlotQueue& QueueOf(std::string_view service);
  // An online request was placed: batch work makes room, and the other VMs are
  // told if the upstream is nearly full.
  void OnPlaced(Upstream& upstream);
  // Puts a configuration in force if it is newer than the present one.
  void InstallConfig(FleetConfigPtr config, int64_t revision);
  // Hands out slots of all services.
  void DispatchAll();
  // The follower of the keys with `prefix`; null if they aren't followed.
  PrefixFollower* FindFollower(std::string_view prefix);
  // Callers and peers are accepted a moment before the first configuration and
  // the first list of VMs are read. Waits for both, but not long: a VM that
  // can't reach the store refuses requests at once.
  Task<> WaitUntilConfigured();
  // Whether the load balancer may send callers.
  bool IsReady() const;

  GatewaySettings m_settings;
  KvSession m_kv;
  ClusterView m_cluster;
  VmRegistration m_registration;
  // Null until the first configuration was read.
  FleetConfigPtr m_config;
  // The first configuration or the first list of VMs was read.
  Condition m_configured;
  UpstreamTable m_upstreams;
  QuotaManager m_quotas;
  BreakBook m_breaks;
  std::map<std::string, SlotQueue, std::less<>> m_queues;

  // Set up by the gateway before anything runs.
  NewsExchange* m_news = nullptr;
  JobService* m_jobs = nullptr;
  PeerCalls* m_peer_calls = nullptr;
  PrefixFollower* m_operator = nullptr;
  PrefixFollower* m_upstream_list = nullptr;
  PrefixFollower* m_vm_list = nullptr;

  const Millis m_started = MonotonicNow();
  // Zero until the process was told to stop.
  Millis m_draining_since;
  Condition m_drain_started;
  int m_callers = 0;   // open connections
  int m_requests = 0;  // in progress
};

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_NODE_H_
