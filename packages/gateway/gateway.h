// One gateway VM: sets up its components and runs them until a stop signal.

#ifndef BRONZECROSS_GATEWAY_GATEWAY_H_
#define BRONZECROSS_GATEWAY_GATEWAY_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "aio/tcp_listener.h"
#include "gateway/gossip_exchange.h"
#include "gateway/node.h"
#include "gateway/operator_keys.h"
#include "gateway/peer_calls.h"
#include "gateway/probe_server.h"
#include "jobs/job_service.h"
#include "kv/prefix_follower.h"

namespace bronzecross {

class Gateway {
 public:
  // `reload` reads the settings file again. It is called on SIGHUP.
  Gateway(GatewaySettings settings,
          std::function<Result<GatewaySettings>()> reload);
  ~Gateway();

  // Runs until the drain that SIGTERM or SIGINT starts has ended. Fails if an
  // address can't be bound.
  Status Run();

 private:
  Status Listen();
  Status AddListener(const NetAddress& address,
                     TcpListener::Acceptor acceptor,
                     ConnectionTable& table);
  Status AddProbes(const NetAddress& address,
                   const ProbeHandler& handler,
                   ConnectionTable& table);
  void StartTasks();
  // Return the handlers for the list of upstreams and for the list of VMs.
  PrefixHandlers UpstreamHandlers();
  PrefixHandlers VmHandlers();
  // Updates the VM group, the gather times and the lease for the VMs that are
  // currently known.
  void OnFleetChange();
  // Periodically removes expired state and decides whether this VM's share of
  // the limits is active.
  Task<> RunMaintenance();
  // Reads the operator's changes and then lets requests be sent again.
  Task<> ReadAfterFreeze();
  // Queries the seeds for VMs until at least one VM is known.
  Task<> QuerySeeds();
  Task<> QuerySeed(NetAddress seed);
  Task<> WatchSignals();
  // Stops accepting callers, waits for the requests in progress, releases the
  // jobs and the lease, and stops the event loop.
  Task<> Drain();
  void Reload();

  EventLoop m_loop;
  Node m_node;
  OperatorKeys m_operator_keys;
  PrefixFollower m_operator_follower;
  PrefixFollower m_upstream_follower;
  PrefixFollower m_vm_follower;
  PeerCalls m_peer_calls;
  GossipExchange m_gossip;
  JobService m_jobs;
  // Whether a takeover of this VM's work by another VM would be heard of.
  bool m_hears_fleet = false;
  std::function<Result<GatewaySettings>()> m_reload;
  std::vector<std::unique_ptr<TcpListener>> m_listeners;
  std::unique_ptr<TcpListener> m_caller_listener;  // closed first in a drain
};

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_GATEWAY_H_
