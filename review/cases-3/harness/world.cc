#include "world.h"

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "base/text.h"
#include "standins/platform_caller.h"

namespace review {

using bronzecross::Concat;
using bronzecross::Millis;
using nlohmann::json;

namespace {

// Ports of every gateway; each has an address of its own.
constexpr int kCallers = 28405;
constexpr int kReadiness = 28406;
constexpr int kControl = 28407;
constexpr int kPeers = 7660;
constexpr int kMetrics = 7662;

constexpr Millis kStartTimeout{15'000};

// How long a client waits, and what it says of that.
constexpr Millis kCallTimeout{15'000};
constexpr Millis kDeadline{13'000};

// The program that the build of the deploy file makes.
constexpr const char* kProgram = "target/programs/bronzecross/bronzecross";

// Addresses of this process alone, so that two cases can run side by side.
std::string OwnNet() {
  const int pid = getpid();
  return Concat("127.", 80 + ((pid >> 8) & 0x3f), ".", pid & 0xff);
}

std::string MakeFolder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "bronzecross-review-XXXXXX")
          .string();
  if (mkdtemp(pattern.data()) == nullptr) {
    std::exit(kCouldNotRun);
  }
  return pattern;
}

}  // namespace

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

Record::Record(const std::string& path)
    : m_file(std::fopen(path.c_str(), "w")),
      m_start(bronzecross::MonotonicNow()) {
  if (m_file == nullptr) {
    std::fprintf(stderr, "cannot write %s\n", path.c_str());
    std::exit(kCouldNotRun);
  }
}

Record::~Record() {
  std::fclose(m_file);
}

void Record::Add(const std::string& line) {
  const Millis now = bronzecross::MonotonicNow() - m_start;
  std::lock_guard<std::mutex> lock(m_mutex);
  std::fprintf(m_file, "%8.3f s  %s\n", now.Seconds(), line.c_str());
  std::fflush(m_file);
}

json MakeRoute(const std::string& name,
               const std::string& prefix,
               const std::string& kind) {
  return {{"name", name},    {"host", "gw.test"},   {"prefix", prefix},
          {"kind", kind},    {"timeoutMs", 15000},  {"targetLatencyMs", 600},
          {"priority", 0},   {"service", "engine"}, {"maxAttempts", 3},
          {"public", false}, {"sticky", false},     {"resumable", false},
          {"gapAimMs", 500}};
}

World::World(int gateways, Record& record)
    : m_record(record), m_folder(MakeFolder()), m_net(OwnNet()) {
  for (int i = 0; i < gateways; ++i) {
    m_processes.push_back(std::make_unique<bronzecross::ChildProcess>());
    m_seeds.emplace_back();
  }
}

World::~World() {
  for (const std::unique_ptr<bronzecross::ChildProcess>& process :
       m_processes) {
    process->Kill();
  }
  std::filesystem::remove_all(m_folder);
}

void World::Publish(int version, const json& routes) {
  json config;
  config["version"] = version;
  config["routes"] = routes;
  config["services"] = {{{"name", "engine"},
                         {"healthPath", "/health"},
                         {"maxConns", 180},
                         {"engine", json::object()}}};
  config["limits"] = {{"maxHeaderBytes", 16'384},
                      {"maxBodyBytes", 4'194'304},
                      {"headerTimeoutMs", 3'000},
                      {"idleTimeoutMs", 15'000}};
  config["tenants"] = {{{"name", "ws-a"}, {"apiKeys", {"key-a"}}}};
  m_store.Put("op/config", config.dump());
  m_record.Add(Concat("operator: wrote op/config version ", version, " with ",
                      routes.size(), " routes"));
}

void World::AddReplica(const std::string& id, int events, int gap_ms) {
  bronzecross::PlatformReplicaOptions options;
  options.m_id = id;
  options.m_events = events;
  options.m_event_gap = Millis(gap_ms);
  m_ids.push_back(id);
  m_replicas.push_back(std::make_unique<bronzecross::PlatformReplicaStandin>(
      m_store, std::move(options)));
}

void World::CrashReplica(int index) {
  m_record.Add(Concat("replica ", m_ids[index], " crashes"));
  m_replicas[index]->Crash();
}

void World::RestartReplica(int index, int events, int gap_ms) {
  bronzecross::PlatformReplicaOptions options;
  options.m_id = m_ids[index];
  options.m_events = events;
  options.m_event_gap = Millis(gap_ms);
  m_crashed.push_back(std::move(m_replicas[index]));
  m_replicas[index] = std::make_unique<bronzecross::PlatformReplicaStandin>(
      m_store, std::move(options));
  m_replicas[index]->RegisterAsStarted(bronzecross::WallNow());
  m_record.Add(Concat("replica ", m_ids[index], " is back"));
}

std::vector<bronzecross::ReplicaRun> World::Runs() {
  std::vector<bronzecross::ReplicaRun> runs;
  for (const auto* replicas : {&m_replicas, &m_crashed}) {
    for (const auto& replica : *replicas) {
      for (const bronzecross::ReplicaRun& run : replica->Runs()) {
        runs.push_back(run);
      }
    }
  }
  return runs;
}

void World::SetSeeds(int gateway, std::vector<std::string> seeds) {
  m_seeds[gateway] = std::move(seeds);
}

std::string World::Ip(int index) const {
  return Concat(m_net, ".", index + 1);
}

std::string World::ControlAddress(int gateway) const {
  return Concat(Ip(gateway), ":", kControl);
}

// The fields of deploy/gateway.toml, filled in as for one of the small sites.
void World::WriteSettings(int gateway) {
  const std::string ip = Ip(gateway);
  const std::string path = Concat(m_folder, "/edge-", gateway + 1, ".toml");
  std::ostringstream text;
  text << "[vm]\nid = \"edge-" << gateway + 1
       << "\"\navailability_zone = \"zone-a\"\n\n"
       << "[listen]\ncallers = \"" << ip << ":" << kCallers << "\"\n"
       << "readiness = \"" << ip << ":" << kReadiness << "\"\n"
       << "peers = \"" << ip << ":" << kPeers << "\"\n"
       << "bootstrap = \"" << ip << ":" << kControl << "\"\n"
       << "metrics = \"" << ip << ":" << kMetrics << "\"\n\n"
       << "[store]\naddress = \"" << m_store.Address().ToString()
       << "\"\nhistory_ms = 20000\nvalue_bytes = 1048576\n\n"
       << "[cluster]\nseeds = [";
  for (size_t i = 0; i < m_seeds[gateway].size(); ++i) {
    text << (i == 0 ? "" : ", ") << "\"" << m_seeds[gateway][i] << "\"";
  }
  text << "]\n\n[batch]\nforward_jobs = true\n\n"
       << "[placement]\nregion = \"region-a\"\n\n"
       << "[placement.zone_regions]\n\"zone-a\" = \"region-a\"\n\n"
       << "[memory]\nmachine_mb = 260\n\n"
       << "[callers]\nmax_descriptors = 4100\n\n"
       << "[limits]\ndrain_limit_ms = 8000\nresult_retention_ms = 120000\n";
  const std::string fresh = Concat(path, ".new");
  std::ofstream(fresh) << text.str();
  std::filesystem::rename(fresh, path);
}

void World::Start(int gateway) {
  WriteSettings(gateway);
  const std::string settings = Concat(m_folder, "/edge-", gateway + 1, ".toml");
  m_processes[gateway]->Start(
      {kProgram, "--role", "gateway", "--settings", settings},
      Concat(m_folder, "/edge-", gateway + 1, ".log"));
  m_record.Add(Concat("edge-", gateway + 1, " is started"));
}

bool World::IsReady(int gateway) {
  bronzecross::HttpCall call;
  call.m_url = Concat("http://", Ip(gateway), ":", kReadiness,
                      bronzecross::kPlatformReadinessPath);
  call.m_timeout = Millis(1'000);
  const bronzecross::Result<bronzecross::HttpAnswer> answer = m_http.Call(call);
  return answer && answer->m_status == 200;
}

bool World::WaitReady(int gateway) {
  const Millis until = bronzecross::MonotonicNow() + kStartTimeout;
  while (bronzecross::MonotonicNow() < until) {
    if (IsReady(gateway)) {
      m_record.Add(Concat("edge-", gateway + 1, " is ready"));
      return true;
    }
    bronzecross::SleepFor(Millis(10));
  }
  m_record.Add(
      Concat("edge-", gateway + 1, " isn't ready:\n", LogTail(gateway)));
  return false;
}

std::string World::LogTail(int gateway) const {
  std::ifstream file(Concat(m_folder, "/edge-", gateway + 1, ".log"));
  std::string text((std::istreambuf_iterator<char>(file)),
                   std::istreambuf_iterator<char>());
  return text.size() > 600 ? text.substr(text.size() - 600) : text;
}

Answer World::Call(int gateway,
                   const std::string& method,
                   const std::string& target,
                   const std::string& id,
                   const std::string& body,
                   std::vector<bronzecross::HttpHeader> fields) {
  bronzecross::HttpCall call;
  call.m_method = method;
  call.m_url = Concat("http://", Ip(gateway), ":", kCallers, target);
  call.m_headers =
      bronzecross::PlatformCallerFields(id, "key-a", kDeadline.count());
  call.m_headers.push_back({"Host", "gw.test"});
  call.m_headers.insert(call.m_headers.end(), fields.begin(), fields.end());
  call.m_body = body;
  call.m_timeout = kCallTimeout;
  call.m_fresh_connection = true;
  const bronzecross::Result<bronzecross::HttpAnswer> got = m_http.Call(call);
  Answer answer;
  if (!got) {
    answer.m_error = got.error().m_message;
    return answer;
  }
  answer.m_status = got->m_status;
  answer.m_body = got->m_body;
  answer.m_stamp =
      bronzecross::PlatformReplicaStandin::SignatureOf(got->m_headers);
  return answer;
}

}  // namespace review
