// A small deployment for one case: gateways of the deploy file's build as
// separate processes, and stand-ins of the platform, on loopback addresses.

#ifndef BRONZECROSS_REVIEW_CASES_3_WORLD_H_
#define BRONZECROSS_REVIEW_CASES_3_WORLD_H_

#include <cstdio>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "harness/child_process.h"
#include "http/http_client.h"
#include "standins/platform_replica_standin.h"
#include "standins/platform_store_standin.h"

namespace review {

// Exit statuses of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// Returns whether the case includes its disruption: TROUBLE isn't "0".
bool HasTrouble();

// The lines of record.txt, with the time since the start. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  void Add(const std::string& line);

 private:
  std::mutex m_mutex;
  std::FILE* m_file;
  bronzecross::Millis m_start;
};

// A route of op/config with the host "gw.test".
nlohmann::json MakeRoute(const std::string& name,
                         const std::string& prefix,
                         const std::string& kind);

// What a client got. Status 0: no whole answer.
struct Answer {
  int m_status = 0;
  std::string m_body;
  std::string m_stamp;
  std::string m_error;
};

class World {
 public:
  // Gateways are edge-1 to edge-N; none is started yet.
  World(int gateways, Record& record);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  Record& Log() { return m_record; }
  bronzecross::PlatformStoreStandin& Store() { return m_store; }
  // Writes op/config with one engine service "engine" and one tenant.
  void Publish(int version, const nlohmann::json& routes);

  // Adds a replica of "engine" that streams `events` events per request.
  void AddReplica(const std::string& id, int events, int gap_ms);
  int ReplicaCount() const { return static_cast<int>(m_replicas.size()); }
  const std::string& ReplicaId(int index) const { return m_ids[index]; }
  // Ends all connections of a replica and its port, as a crash does.
  void CrashReplica(int index);
  // Starts it again under its id, at a new port.
  void RestartReplica(int index, int events, int gap_ms);
  // All requests that the replicas have run.
  std::vector<bronzecross::ReplicaRun> Runs();

  // Seeds of a gateway, as IP:PORT.
  void SetSeeds(int gateway, std::vector<std::string> seeds);
  std::string ControlAddress(int gateway) const;
  // The loopback address that gateway `index` would have; for stand-ins of
  // machines that don't answer.
  std::string Ip(int index) const;
  void WriteSettings(int gateway);
  void Start(int gateway);
  bronzecross::ChildProcess& Process(int gateway) {
    return *m_processes[gateway];
  }
  bool IsReady(int gateway);
  // Returns false after 15 s.
  bool WaitReady(int gateway);
  std::string LogTail(int gateway) const;

  Answer Call(int gateway,
              const std::string& method,
              const std::string& target,
              const std::string& id,
              const std::string& body,
              std::vector<bronzecross::HttpHeader> fields = {});

 private:
  Record& m_record;
  std::string m_folder;
  std::string m_net;  // the first three bytes of the addresses
  bronzecross::PlatformStoreStandin m_store;
  std::vector<std::unique_ptr<bronzecross::PlatformReplicaStandin>> m_replicas;
  std::vector<std::unique_ptr<bronzecross::PlatformReplicaStandin>> m_crashed;
  std::vector<std::string> m_ids;
  std::vector<std::vector<std::string>> m_seeds;
  std::vector<std::unique_ptr<bronzecross::ChildProcess>> m_processes;
  bronzecross::HttpClient m_http;
};

}  // namespace review

#endif  // BRONZECROSS_REVIEW_CASES_3_WORLD_H_
