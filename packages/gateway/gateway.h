// One gateway VM: sets up its parts and runs them until it is told to stop.

#ifndef BRONZECROSS_GATEWAY_GATEWAY_H_
#define BRONZECROSS_GATEWAY_GATEWAY_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "aio/tcp_listener.h"
#include "gateway/news_exchange.h"
#include "gateway/node.h"
#include "gateway/peer_calls.h"
#include "jobs/job_service.h"
#include "kv/prefix_follower.h"

namespace bronzecross {

class Gateway {
 public:
  // `reload` reads the settings again; it is called on SIGHUP.
  Gateway(GatewaySettings settings,
          std::function<Result<GatewaySettings>()> reload);
  ~Gateway();

  // Runs until SIGTERM or SIGINT and the drain that follows. Fails if an
  // address can't be bound.
  Status Run();

 private:
  Status Listen();
  Status AddListener(const NetAddress& address, TcpListener::Acceptor acceptor);
  void StartTasks();
  // Handlers for the configuration and requests to empty a disk, for upstreams,
  // and for VMs.
  PrefixHandlers OperatorHandlers();
  PrefixHandlers UpstreamHandlers();
  PrefixHandlers VmHandlers();
  // Adapts the cell, pauses and the lease to the VMs that are known now.
  void OnFleetChange();
  Task<> RunUpkeep();
  Task<> AskSeeds();
  Task<> AskSeed(NetAddress seed);
  Task<> ReportEmptied(std::string vm);
  void OnOperatorItem(const KvItem& item);
  Task<> WatchSignals();
  Task<> Drain();
  void Reload();

  EventLoop m_loop;
  Node m_node;
  PrefixFollower m_operator;
  PrefixFollower m_upstreams;
  PrefixFollower m_vms;
  PeerCalls m_peer_calls;
  NewsExchange m_news;
  JobService m_jobs;
  std::function<Result<GatewaySettings>()> m_reload;
  std::vector<std::unique_ptr<TcpListener>> m_listeners;
  std::unique_ptr<TcpListener> m_caller_listener;  // closed first in a drain
  // VMs whose disks the operator wants emptied, as far as that was handled.
  std::set<std::string> m_emptied;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_GATEWAY_H_
