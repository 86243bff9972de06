// Creates, starts and drains the components of one VM's daemon.

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
  // Shuts down gracefully: fails the readiness check, keeps accepting
  // connections for the notice time, waits for active requests up to the drain
  // timeout, then stops all components.
  void Drain();

 private:
  Status WritePortFile() const;
  bool IsReady() const;
  bool IsQuiet() const;
  nlohmann::json MakeStatus() const;
  // Returns this VM's lease; its id is 0 while there is none.
  KvLease CurrentLease() const;
  int64_t InFlight(const std::string& upstream);

  const Settings m_settings;
  std::atomic<bool> m_draining = false;
  // Points to m_vm_lease's object once Start() has created it, else null.
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
  PoisonRequestGuard m_poison_request_guard;
  OnlineService m_online;
  FileService m_files;
  BatchService m_batch;
  OrderPlacer m_orders;
  ConfigDistributor m_distributor;
  // Created in Start(), because its record contains the bound addresses.
  std::unique_ptr<VmLease> m_vm_lease;
  HttpServer m_caller_server;
  HttpServer m_admin_server;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_PROGRAMS_BRONZECROSS_DAEMON_H_
