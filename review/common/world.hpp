// A small deployment on loopback addresses: gateways and a storage process,
// started with the commands of the deploy file, among a store, an operator,
// replicas and clients.

#ifndef REVIEW_COMMON_WORLD_HPP_
#define REVIEW_COMMON_WORLD_HPP_

#include <memory>
#include <string>
#include <vector>

#include "harness/child_process.h"
#include "http/http_client.h"
#include "record.hpp"
#include "replica.hpp"
#include "store.hpp"

namespace review {

// False if the script runs without its disruption (TROUBLE=0).
bool HasTrouble();

// Bounds of the site zagorje-dvori.
inline constexpr Millis kContact{3'000};
inline constexpr Millis kSettle{1'000};
inline constexpr Millis kCancel{3'000};
inline constexpr Millis kFinish{18'000};

struct WorldOptions {
  int m_vms = 4;
  int m_replicas = 2;
  ReplicaOptions m_replica;
};

// A client's call. Status 0: no whole answer came.
struct ClientCall {
  int m_vm = 0;
  std::string m_method = "POST";
  std::string m_target;
  std::string m_id;
  std::string m_key = "key-a";
  std::string m_body;
  std::vector<bronzecross::HttpHeader> m_headers;
  Millis m_deadline{4'000};
};

class World {
 public:
  // Starts all and waits until all VMs are ready. Exits with 2 if it can't.
  explicit World(const WorldOptions& options);
  ~World();

  Store& TheStore() { return m_store; }
  Replica& TheReplica(size_t index) { return *m_replicas[index]; }
  // All runs of all replicas whose request id begins with `prefix`.
  std::vector<Run> RunsOf(const std::string& prefix);
  int VmCount() const { return m_options.m_vms; }

  bronzecross::HttpAnswer Call(const ClientCall& call);
  // Submits a job of `items` items that give `events` events each.
  int Submit(int vm,
             const std::string& job,
             int items,
             int events,
             Millis deadline = Millis(4'000));
  // Ends a job.
  int End(int vm, const std::string& job, Millis deadline = Millis(4'000));
  // Reads the results from `after`; sets `next` and `total` after status 200.
  int Read(int vm,
           const std::string& job,
           int after,
           nlohmann::json& page,
           Millis wait = Millis());
  // The status of reading an item's body.
  int ReadBody(int vm, const std::string& job, int item);

  // Signals to a VM's process.
  void Kill(int vm);
  void Start(int vm);
  void Stop(int vm);
  void Continue(int vm);
  bool IsRunning(int vm) { return m_vms[vm]->m_process.IsRunning(); }
  std::string LogOf(int vm);
  void WaitReady(int vm);

 private:
  struct Vm {
    std::string m_ip;
    std::string m_settings;
    std::string m_log;
    bronzecross::ChildProcess m_process;
  };

  void WriteConfig();

  const WorldOptions m_options;
  std::string m_folder;
  Store m_store;
  std::vector<std::unique_ptr<Replica>> m_replicas;
  std::vector<std::unique_ptr<Vm>> m_vms;
  bronzecross::ChildProcess m_storage;
  bronzecross::HttpClient m_http;
};

std::string ItemId(const std::string& job, int item);

// Runs a case in the folder that argv[1] names; `play` returns the exit code.
int RunCase(int argc, char** argv, int (*play)());

// Records the verdict and returns the exit code.
int Verdict(bool held, std::string_view why);
int CannotRun(std::string_view why);

}  // namespace review

#endif  // REVIEW_COMMON_WORLD_HPP_
