// Real bronzecross processes among in-process stand-ins, on 127.0.0.1.

#ifndef BRONZECROSS_TESTS_HARNESS_CLUSTER_H_
#define BRONZECROSS_TESTS_HARNESS_CLUSTER_H_

#include <memory>
#include <string>
#include <vector>

#include "config/manifest.h"
#include "harness/caller.h"
#include "harness/child_process.h"
#include "standins/engine_standin.h"
#include "standins/fault_proxy.h"
#include "standins/kv_standin.h"
#include "standins/service_standin.h"
#include "standins/vm_list_standin.h"
#include "store/kv_client.h"

namespace bronzecross {

struct ClusterOptions {
  int m_vms = 3;
  // The first VMs have a data folder.
  int m_data_vms = 3;
  // The bytes that a data folder may hold; 0: the default.
  int64_t m_data_max_bytes = 0;
  std::vector<EngineOptions> m_engines = std::vector<EngineOptions>(3);
  int m_services = 1;
  int m_workspaces = 2;
  double m_rate_per_s = 1000;
  double m_burst = 1000;
  // Stands a proxy before each VM's peer port for each viewer, and between each
  // VM and the store.
  bool m_proxies = false;
  // The half that each VM serves; shorter than the VMs, or "": all.
  std::vector<std::string> m_vm_halves;
  int64_t m_vm_list_poll_ms = 200;
  // Further TOML for each VM's settings, for example "[log]\nlevel = ...".
  std::string m_settings;
  uint64_t m_seed = 1;
};

class Cluster {
 public:
  // Starts everything, publishes a manifest and waits until all VMs are ready
  // and see each other.
  explicit Cluster(ClusterOptions options);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  int VmCount() const { return m_options.m_vms; }
  std::string Url(int vm) const;
  std::string AdminUrl(int vm) const;
  int64_t PeerPort(int vm) const { return m_vms[vm]->m_peer; }
  static std::string VmId(int vm) { return "vm-" + std::to_string(vm); }
  // "key-<i>" is the key of workspace "ws-<i>".
  static std::string Key(int workspace) {
    return "key-" + std::to_string(workspace);
  }

  KvStandin& Kv() { return m_kv; }
  VmListStandin& VmList() { return m_vm_list; }
  EngineStandin& Engine(size_t index) { return *m_engines[index]; }
  ServiceStandin& Service(size_t index) { return *m_services[index]; }
  size_t EngineCount() const { return m_engines.size(); }
  TestCaller& Caller() { return m_caller; }
  KvClient& Store() { return m_kv_client; }
  ChildProcess& Vm(int vm) { return m_vms[vm]->m_process; }
  // Only with m_proxies.
  FaultProxy& PeerProxy(int viewer, int target);
  FaultProxy& StoreProxy(int vm);

  // The manifest to publish; change it, then call Publish().
  Manifest& GetManifest() { return m_manifest; }
  // Returns the new generation; aborts if the store can't be written.
  int64_t Publish();
  // The same, but returns the error; the manifest stays unpublished then.
  Result<int64_t> TryPublish();
  // Takes the numbering of the manifest in the store, after somebody else
  // published the same content.
  void AdoptPublished();

  // Starts a VM that was killed or ended, as a new incarnation on new ports.
  void StartVm(int vm);
  // Waits until the VM is ready; returns false after `timeout`.
  bool WaitReady(int vm, Millis timeout = Millis(10'000));
  // Waits until all running VMs count `live` VMs as live.
  bool WaitLive(int live, Millis timeout = Millis(10'000));
  nlohmann::json Status(int vm);

  const std::string& Folder() const { return m_folder; }
  std::string DataFolder(int vm) const;
  std::string LogPath(int vm) const;

 private:
  struct VmSlot {
    ChildProcess m_process;
    int64_t m_http = 0;
    int64_t m_peer = 0;
    int64_t m_admin = 0;
    std::unique_ptr<FaultProxy> m_store_proxy;
    // By viewer.
    std::vector<std::unique_ptr<FaultProxy>> m_peer_proxies;
  };

  void MakeManifest();
  std::string MakeSettings(int vm);
  void ReadPorts(int vm);

  const ClusterOptions m_options;
  std::string m_folder;
  KvStandin m_kv;
  VmListStandin m_vm_list;
  std::vector<std::unique_ptr<EngineStandin>> m_engines;
  std::vector<std::unique_ptr<ServiceStandin>> m_services;
  Manifest m_manifest;
  Manifest m_published;
  KvClient m_kv_client;
  TestCaller m_caller;
  std::vector<std::unique_ptr<VmSlot>> m_vms;
};

// Waits until `condition` holds; returns false after `timeout`.
bool WaitFor(const std::function<bool()>& condition,
             Millis timeout = Millis(10'000));

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_HARNESS_CLUSTER_H_
