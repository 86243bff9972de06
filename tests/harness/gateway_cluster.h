// Real gateway processes among in-process stand-ins of the platform, on
// 127.0.0.1.

#ifndef BRONZECROSS_TESTS_HARNESS_GATEWAY_CLUSTER_H_
#define BRONZECROSS_TESTS_HARNESS_GATEWAY_CLUSTER_H_

#include <memory>
#include <string>
#include <vector>

#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include "harness/child_process.h"
#include "http/http_client.h"
#include "standins/fault_proxy.h"
#include "standins/platform_operator_standin.h"
#include "standins/platform_replica_standin.h"
#include "standins/platform_store_standin.h"

namespace bronzecross {

struct GatewayClusterOptions {
  int m_vms = 2;
  int m_engines = 2;
  PlatformReplicaOptions m_engine;
  // Zones of the engines, in turn; empty: that of m_engine.
  std::vector<std::string> m_engine_zones;
  // Zones of the VMs, in turn.
  std::vector<std::string> m_vm_zones = {"zone-a"};
  // The lines of [placement] in the settings of the VMs.
  std::string m_placement;
  double m_rate_per_s = 0;  // of the workspace; 0: no limit
  double m_burst = 0;
  // Stands a proxy between each VM and the store.
  bool m_store_proxies = false;
  // How long the VMs take the store to keep its history.
  Millis m_store_history{20'000};
  bool m_prompt_affinity = false;
  // Further TOML for each VM's settings, for example "[log]\nlevel = ...".
  std::string m_settings;
  // Seeds of all VMs until SetSeeds(); empty: the first VM.
  std::vector<std::string> m_seeds;
};

// A caller's request to one VM.
struct GatewayRequest {
  int m_vm = 0;
  std::string m_method = "POST";
  std::string m_host = "gateway.test";
  std::string m_target;
  std::string m_id;
  std::string m_key = "key-a";  // empty: none is sent
  std::string m_body = "question";
  std::vector<HttpHeader> m_headers;
  int64_t m_deadline_ms = 5'000;
};

class GatewayCluster {
 public:
  // Starts everything and waits until all VMs are ready.
  explicit GatewayCluster(GatewayClusterOptions options);
  ~GatewayCluster();
  GatewayCluster(const GatewayCluster&) = delete;
  GatewayCluster& operator=(const GatewayCluster&) = delete;

  PlatformStoreStandin& Store() { return m_store; }
  PlatformReplicaStandin& Engine(size_t index) { return *m_engines[index]; }
  ChildProcess& Vm(size_t index) { return m_vms[index]->m_process; }
  FaultProxy& StoreProxy(size_t index) { return *m_vms[index]->m_store_proxy; }
  std::string LogOf(size_t vm) const;
  std::string CallerUrl(size_t vm) const;

  PlatformOperatorStandin& Operator() { return m_operator; }

  // Status 0: no whole answer came.
  HttpAnswer Call(const GatewayRequest& request);
  // The same with the reason for which no whole answer came.
  Result<HttpAnswer> TryCall(const GatewayRequest& request);
  // Whether the VM tells the load balancer that it is ready.
  bool IsReady(size_t vm);
  void StartVm(size_t vm);
  // The same with the settings file as it is.
  void LaunchVm(size_t vm);
  // When the VM was last started. Thread-safe.
  Millis LaunchedAt(size_t vm);
  void WaitReady(size_t vm);
  // Rewrites the VM's settings and tells it with SIGHUP, unless that would end
  // a process that has just been started. Thread-safe, as are the next three.
  void ReloadVm(size_t vm);
  // Puts `text` in place of the VM's settings until its next start or reload,
  // and tells it in the same way.
  void ReloadVmFrom(size_t vm, const std::string& text);
  // Used from the VM's next start or reload on.
  void SetSeeds(size_t vm, std::vector<std::string> seeds);
  void SetDrainLimit(size_t vm, Millis limit);
  std::string SettingsPath(size_t vm) const;
  NetAddress CallerAddress(size_t vm) const;
  NetAddress ReadinessAddress(size_t vm) const;
  NetAddress MetricsAddress(size_t vm) const;
  // Where other VMs connect, and where it receives their datagrams.
  NetAddress PeerAddress(size_t vm) const;
  // Where its seeds point.
  NetAddress BootstrapAddress(size_t vm) const;
  int VmCount() const { return m_options.m_vms; }
  int EngineCount() const { return m_options.m_engines; }

  // Reads a job's results until all are listed or `timeout` passes.
  nlohmann::json WaitForResults(int vm, const std::string& job, Millis timeout);

 private:
  struct Vm {
    std::string m_folder;
    int m_callers = 0;
    int m_readiness = 0;
    int m_peers = 0;
    int m_bootstrap = 0;
    int m_metrics = 0;
    absl::Mutex m_mutex;  // guards the settings and their file
    std::vector<std::string> m_seeds ABSL_GUARDED_BY(m_mutex);
    Millis m_drain_limit ABSL_GUARDED_BY(m_mutex){8'000};
    Millis m_launched ABSL_GUARDED_BY(m_mutex);
    std::unique_ptr<FaultProxy> m_store_proxy;
    ChildProcess m_process;
  };

  void WriteSettings(size_t vm);
  // Replaces the file at once, so that a process never reads a part of it.
  void ReplaceSettings(size_t vm, const std::string& text);

  GatewayClusterOptions m_options;
  std::string m_folder;
  std::string m_ip;
  PlatformStoreStandin m_store;
  PlatformOperatorStandin m_operator;
  std::vector<std::unique_ptr<PlatformReplicaStandin>> m_engines;
  std::vector<std::unique_ptr<struct Vm>> m_vms;
  HttpClient m_http;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_HARNESS_GATEWAY_CLUSTER_H_
