#include "fleet.hpp"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "base/text.h"
#include "harness/cluster.h"
#include "standins/platform_caller.h"

namespace review {

using bronzecross::Concat;
using nlohmann::json;

namespace {

constexpr int kPortsOfVm = 5;

int64_t SteadyMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

const int64_t g_started = SteadyMs();

// Ports of the first gateway; below those that the system hands out.
constexpr int kFirstPort = 20'000;

// A loopback address of this process alone, so that cases that run at the same
// time can't take one another's ports.
std::string OwnLoopbackIp() {
  const int pid = getpid();
  return Concat("127.", 90 + ((pid >> 16) & 0x3f), ".", (pid >> 8) & 0xff, ".",
                std::max(pid & 0xff, 1));
}

std::FILE* RecordFile() {
  static std::FILE* file = [] {
    const char* path = std::getenv("RECORD");
    std::FILE* opened = path == nullptr ? nullptr : std::fopen(path, "w");
    return opened == nullptr ? stderr : opened;
  }();
  return file;
}

}  // namespace

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

int64_t Now() {
  return SteadyMs() - g_started;
}

void Record(const std::string& line) {
  static std::mutex mutex;
  const std::lock_guard<std::mutex> lock(mutex);
  std::fprintf(RecordFile(), "%8.3f %s\n", static_cast<double>(Now()) / 1000,
               line.c_str());
  std::fflush(RecordFile());
}

json MakeRoute(const std::string& name,
               const std::string& prefix,
               const std::string& kind,
               const std::string& service) {
  json route = {{"name", name},          {"host", kHost},
                {"prefix", prefix},      {"kind", kind},
                {"service", service},    {"timeoutMs", 5'000},
                {"targetLatencyMs", 500}, {"priority", 0},
                {"maxAttempts", 1},      {"public", false}};
  if (kind == "idempotent") {
    route["maxAttempts"] = 2;
  }
  if (kind == "streaming") {
    route["gapAimMs"] = 250;
    route["resumable"] = false;
  }
  if (kind == "bulk") {
    route["timeoutMs"] = 15'000;
    route["maxAttempts"] = 3;
    route["dueMs"] = 18'000;
    route["retentionS"] = 60;
    route["cap"] = 1'000'000;
    route["priority"] = 2;
  }
  return route;
}

Fleet::Fleet(bronzecross::PlatformStoreStandin& store, FleetOptions options)
    : m_store(store),
      m_options(std::move(options)),
      m_ip(OwnLoopbackIp()),
      m_processes(static_cast<size_t>(m_options.m_vms)) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "bronzecross-review-XXXXXX")
          .string();
  if (mkdtemp(pattern.data()) == nullptr) {
    std::exit(kCouldNotRun);
  }
  m_folder = pattern;
  for (int i = 0; i < m_options.m_vms; ++i) {
    std::vector<int> ports;
    for (int k = 0; k < kPortsOfVm; ++k) {
      ports.push_back(kFirstPort + i * kPortsOfVm + k);
    }
    m_ports.push_back(ports);
  }
  Publish(1, m_options.m_routes);
}

void Fleet::Publish(int version, const std::vector<json>& routes) {
  json config;
  config["version"] = version;
  config["routes"] = routes;
  config["services"] = json::array();
  for (const std::string& service : m_options.m_services) {
    config["services"].push_back({{"name", service},
                                  {"healthPath", "/health"},
                                  {"maxConns", 180},
                                  {"engine", json::object()}});
  }
  config["limits"] = {{"maxHeaderBytes", 16'384},
                      {"maxBodyBytes", m_options.m_max_body_bytes},
                      {"headerTimeoutMs", 3'000},
                      {"idleTimeoutMs", 15'000}};
  config["tenants"] = {{{"name", "ws-a"}, {"apiKeys", {"key-a"}}}};
  m_store.Put("op/config", config.dump());
}

Fleet::~Fleet() {
  for (bronzecross::ChildProcess& process : m_processes) {
    process.Kill();
  }
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(m_folder);
  }
}

void Fleet::Finish(int code) {
  for (bronzecross::ChildProcess& process : m_processes) {
    process.Kill();
  }
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(m_folder);
  }
  Record(code == kBroken ? "the rule is broken"
         : code == kHeld ? "the rule held"
                         : "the case couldn't run");
  // Stand-ins may have calls open that wait for seconds.
  std::_Exit(code);
}

std::string Fleet::AddressOf(int vm, int port) const {
  return Concat(m_ip, ":",
                m_ports[static_cast<size_t>(vm)][static_cast<size_t>(port)]);
}

std::string Fleet::VmId(int vm) const {
  return Concat("edge-", vm);
}

std::string Fleet::CallerAddress(int vm) const {
  return AddressOf(vm, 0);
}

std::string Fleet::LogPath(int vm) const {
  return Concat(m_folder, "/edge-", vm, ".log");
}

// The settings that the platform makes of deploy/gateway.toml.
void Fleet::StartVm(int vm) {
  const std::string path = Concat(m_folder, "/edge-", vm, ".toml");
  std::string seeds;
  for (int i = 0; i < std::min(m_options.m_vms, 3); ++i) {
    seeds += Concat(i == 0 ? "" : ",", "\"", AddressOf(i, 3), "\"");
  }
  const std::string zone = Concat("zone-", vm % 3);
  std::ofstream(path)
      << "[vm]\nid = \"" << VmId(vm) << "\"\navailability_zone = \"" << zone
      << "\"\n[listen]\ncallers = \"" << AddressOf(vm, 0)
      << "\"\nreadiness = \"" << AddressOf(vm, 1) << "\"\npeers = \""
      << AddressOf(vm, 2) << "\"\nbootstrap = \"" << AddressOf(vm, 3)
      << "\"\nmetrics = \"" << AddressOf(vm, 4) << "\"\n[store]\naddress = \""
      << (m_options.m_store_address.empty() ? m_store.Address().ToString()
                                            : m_options.m_store_address)
      << "\"\nhistory_ms = 20000\n[cluster]\nseeds = [" << seeds
      << "]\n[batch]\nforward_jobs = true\n[placement]\nregion = \"r\"\n"
      << "[placement.zone_regions]\n\"zone-0\" = \"r\"\n\"zone-1\" = \"r\"\n"
      << "\"zone-2\" = \"r\"\n[memory]\nmachine_mb = " << m_options.m_memory_mb
      << "\n[callers]\nmax_descriptors = 4100\n[limits]\n"
      << "drain_limit_ms = 8000\nresult_retention_ms = 120000\n";
  const char* program = std::getenv("BRONZECROSS");
  m_processes[static_cast<size_t>(vm)].Start(
      {program == nullptr ? "target/programs/bronzecross/bronzecross" : program,
       "--role", "gateway", "--settings", path},
      LogPath(vm));
  Record(Concat("started ", VmId(vm)));
}

bool Fleet::WaitReady(int vm) {
  return bronzecross::WaitFor(
      [&] {
        bronzecross::HttpCall call;
        call.m_url = Concat("http://", AddressOf(vm, 1),
                            bronzecross::kPlatformReadinessPath);
        call.m_timeout = Millis(1'000);
        const auto answer = m_http.Call(call);
        return answer && answer->m_status == 200;
      },
      Millis(10'000));
}

bool Fleet::Start() {
  for (int i = 0; i < m_options.m_vms; ++i) {
    StartVm(i);
  }
  for (int i = 0; i < m_options.m_vms; ++i) {
    if (!WaitReady(i)) {
      Record(Concat(VmId(i), " is not ready"));
      return false;
    }
  }
  bronzecross::SleepFor(Millis(1'500));
  return true;
}

Answer Fleet::Call(int vm,
                   const std::string& method,
                   const std::string& target,
                   const std::string& id,
                   const std::string& body,
                   int64_t deadline_ms,
                   const std::vector<HttpHeader>& more) {
  bronzecross::HttpCall call;
  call.m_method = method;
  call.m_url = Concat("http://", CallerAddress(vm), target);
  call.m_headers =
      bronzecross::PlatformCallerFields(id, "key-a", deadline_ms);
  call.m_headers.push_back({"Host", kHost});
  call.m_headers.insert(call.m_headers.end(), more.begin(), more.end());
  call.m_body = body;
  call.m_timeout = Millis(deadline_ms + 1'500);
  call.m_fresh_connection = true;
  Answer answer;
  answer.m_sent = Now();
  const auto result = m_http.Call(call);
  answer.m_ended = Now();
  if (result) {
    answer.m_status = result->m_status;
    answer.m_body = result->m_body;
    answer.m_headers = result->m_headers;
  }
  return answer;
}

}  // namespace review
