// Gateways as separate processes among stand-ins of the platform, for the
// script cases of the review. Every address is a loopback address.

#ifndef BRONZECROSS_REVIEW_FLEET_H_
#define BRONZECROSS_REVIEW_FLEET_H_

#include <atomic>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "harness/child_process.h"
#include "http/http_client.h"
#include "standins/platform_store_standin.h"
#include "standins/standin_server.h"

namespace review {

using bronzecross::HttpAnswer;
using bronzecross::HttpHeader;
using bronzecross::HttpReply;
using bronzecross::HttpRequest;
using bronzecross::Millis;

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// False with TROUBLE=0.
bool HasTrouble();

// Writes a line with the time since the start to the record.
void Record(const std::string& line);

// Milliseconds since the start of the case.
int64_t Now();

// The host name of all routes.
constexpr const char* kHost = "gateway.test";

// A route as PROTOCOL.md describes it.
nlohmann::json MakeRoute(const std::string& name,
                         const std::string& prefix,
                         const std::string& kind,
                         const std::string& service);

struct FleetOptions {
  int m_vms = 3;
  std::vector<nlohmann::json> m_routes;
  std::vector<std::string> m_services = {"engine"};
  int64_t m_max_body_bytes = 4'194'304;
  // The address that the gateways take for the store; empty: the stand-in's.
  std::string m_store_address;
  int m_memory_mb = 260;
};

// One answer to a caller. Status 0: the connection ended without a whole one.
struct Answer {
  int m_status = 0;
  std::string m_body;
  std::vector<HttpHeader> m_headers;
  int64_t m_sent = 0;
  int64_t m_ended = 0;
};

class Fleet {
 public:
  Fleet(bronzecross::PlatformStoreStandin& store, FleetOptions options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Starts all gateways. Returns false if one isn't ready in time.
  bool Start();
  void StartVm(int vm);
  bool WaitReady(int vm);
  bronzecross::ChildProcess& Vm(int vm) { return m_processes[vm]; }
  std::string VmId(int vm) const;
  Answer Call(int vm,
              const std::string& method,
              const std::string& target,
              const std::string& id,
              const std::string& body,
              int64_t deadline_ms,
              const std::vector<HttpHeader>& more = {});
  std::string CallerAddress(int vm) const;
  std::string LogPath(int vm) const;
  // Publishes a configuration with these routes; `version` must increase.
  void Publish(int version, const std::vector<nlohmann::json>& routes);
  // Ends all gateways and the case.
  [[noreturn]] void Finish(int code);

 private:
  std::string AddressOf(int vm, int port) const;

  bronzecross::PlatformStoreStandin& m_store;
  FleetOptions m_options;
  std::string m_folder;
  std::string m_ip;
  std::vector<std::vector<int>> m_ports;
  std::vector<bronzecross::ChildProcess> m_processes;
  bronzecross::HttpClient m_http;
};

}  // namespace review

#endif  // BRONZECROSS_REVIEW_FLEET_H_
