// The parts of one VM's daemon, put together, from start to drain.

#ifndef BRONZECROSS_PROGRAMS_BRONZECROSS_DAEMON_H_
#define BRONZECROSS_PROGRAMS_BRONZECROSS_DAEMON_H_

#include <atomic>
#include <memory>

#include <nlohmann/json.hpp>

#include "batch/batch_service.h"
#include "config/config_holder.h"
#include "config/settings.h"
#include "distribution/config_distributor.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "ledger/replicated_ledger.h"
#include "limits/limiter.h"
#include "membership/membership.h"
#include "online/key_guard.h"
#include "online/online_service.h"
#include "orders/order_placer.h"
#include "peers/peer_client.h"
#include "peers/peer_server.h"
#include "receipts/receipt_service.h"
#include "store/kv_client.h"
#include "upstreams/poison_request_guard.h"
#include "upstreams/upstream_registry.h"
#include "vm_lease.h"

namespace bronzecross {

class Daemon {
 public:
  explicit Daemon(const Settings& settings);

  Status Start();
  // Shuts down gracefully: readiness fails, the listener stays for the notice
  // time, requests under way end, then the parts stop.
  void Drain();

 private:
  Status WritePortFile() const;
  bool IsReady() const;
  bool IsQuiet() const;
  nlohmann::json MakeStatus() const;
  // This VM's lease; id 0: none yet.
  KvLease CurrentLease() const;
  int64_t InFlight(const std::string& upstream);

  const Settings m_settings;
  std::atomic<bool> m_draining = false;
  // Points to m_vm_lease once that is made.
  std::atomic<VmLease*> m_lease_view = nullptr;
  ConfigHolder m_config;
  HttpClient m_http;
  KvClient m_store;
  PeerServer m_peer_server;
  PeerClient m_peer_client;
  Membership m_membership;
  ReplicatedLedger m_ledger;
  ReceiptService m_receipts;
  Limiter m_limiter;
  UpstreamRegistry m_upstreams;
  KeyGuard m_key_guard;
  PoisonRequestGuard m_crashes;
  OnlineService m_online;
  FileService m_files;
  BatchService m_batch;
  OrderPlacer m_orders;
  ConfigDistributor m_distributor;
  // Made in Start(), as its record holds the bound addresses.
  std::unique_ptr<VmLease> m_vm_lease;
  HttpServer m_caller_server;
  HttpServer m_admin_server;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_PROGRAMS_BRONZECROSS_DAEMON_H_
