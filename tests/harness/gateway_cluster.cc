#include "harness/gateway_cluster.h"

#include <signal.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "base/text.h"
#include "harness/cluster.h"
#include "standins/platform_caller.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr Millis kStartTimeout{20'000};
constexpr Millis kCallTimeout{15'000};

// Ports of the first VM; below those that the system hands out.
constexpr int kFirstPort = 20'000;
constexpr int kPortsOfVm = 10;

// A loopback address of this process alone, so that tests that run at the same
// time can't take one another's ports.
std::string OwnLoopbackIp() {
  const int pid = getpid();
  return Concat("127.", 16 + ((pid >> 16) & 0x3f), ".", (pid >> 8) & 0xff, ".",
                pid & 0xff);
}

std::string MakeFolder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "bronzecross-gw-XXXXXX")
          .string();
  if (mkdtemp(pattern.data()) == nullptr) {
    std::fprintf(stderr, "gateway cluster: cannot make a folder\n");
    std::abort();
  }
  return pattern;
}

}  // namespace

GatewayCluster::GatewayCluster(GatewayClusterOptions options)
    : m_options(std::move(options)),
      m_folder(MakeFolder()),
      m_ip(OwnLoopbackIp()),
      m_operator(m_store, m_options.m_rate_per_s, m_options.m_burst) {
  for (int i = 0; i < m_options.m_engines; ++i) {
    PlatformReplicaOptions engine = m_options.m_engine;
    engine.m_id = Concat("i-", i);
    if (!m_options.m_engine_zones.empty()) {
      engine.m_zone = m_options.m_engine_zones[static_cast<size_t>(i) %
                                               m_options.m_engine_zones.size()];
    }
    m_engines.push_back(
        std::make_unique<PlatformReplicaStandin>(m_store, engine));
  }
  for (int i = 0; i < m_options.m_vms; ++i) {
    std::unique_ptr<struct Vm> vm = std::make_unique<struct Vm>();
    vm->m_folder = Concat(m_folder, "/vm-", i);
    std::filesystem::create_directories(vm->m_folder);
    const int first = kFirstPort + i * kPortsOfVm;
    vm->m_callers = first;
    vm->m_readiness = first + 1;
    vm->m_peers = first + 2;
    vm->m_bootstrap = first + 3;
    vm->m_metrics = first + 4;
    if (m_options.m_store_proxies) {
      vm->m_store_proxy = std::make_unique<FaultProxy>(m_store.Address());
    }
    m_vms.push_back(std::move(vm));
  }
  const std::vector<std::string> seeds =
      m_options.m_seeds.empty()
          ? std::vector<std::string>{BootstrapAddress(0).ToString()}
          : m_options.m_seeds;
  for (size_t i = 0; i < m_vms.size(); ++i) {
    SetSeeds(i, seeds);
  }
  for (size_t i = 0; i < m_vms.size(); ++i) {
    StartVm(i);
  }
  for (size_t i = 0; i < m_vms.size(); ++i) {
    WaitReady(i);
  }
}

GatewayCluster::~GatewayCluster() {
  for (const std::unique_ptr<struct Vm>& vm : m_vms) {
    vm->m_process.Kill();
  }
  if (std::getenv("BRONZECROSS_KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(m_folder);
  }
}

std::string GatewayCluster::LogOf(size_t vm) const {
  std::ifstream file(Concat(m_vms[vm]->m_folder, "/log"));
  return std::string(std::istreambuf_iterator<char>(file),
                     std::istreambuf_iterator<char>());
}

std::string GatewayCluster::CallerUrl(size_t vm) const {
  return Concat("http://", m_ip, ":", m_vms[vm]->m_callers);
}

void GatewayCluster::WriteSettings(size_t index) {
  struct Vm& vm = *m_vms[index];
  absl::MutexLock lock(&vm.m_mutex);
  const NetAddress store = vm.m_store_proxy != nullptr
                               ? vm.m_store_proxy->Address()
                               : m_store.Address();
  std::string seeds;
  for (const std::string& seed : vm.m_seeds) {
    seeds += Concat(seeds.empty() ? "\"" : ", \"", seed, "\"");
  }
  std::ostringstream file;
  file << "[vm]\nid = \"vm-" << index << "\"\navailability_zone = \""
       << m_options.m_vm_zones[index % m_options.m_vm_zones.size()] << "\"\n"
       << "[listen]\ncallers = \"" << m_ip << ":" << vm.m_callers << "\"\n"
       << "readiness = \"" << m_ip << ":" << vm.m_readiness << "\"\n"
       << "peers = \"" << m_ip << ":" << vm.m_peers << "\"\n"
       << "bootstrap = \"" << m_ip << ":" << vm.m_bootstrap << "\"\n"
       << "metrics = \"" << m_ip << ":" << vm.m_metrics << "\"\n"
       << "[store]\naddress = \"" << store.ToString()
       << "\"\nhistory_ms = " << m_options.m_store_history.count() << "\n"
       << "[cluster]\nseeds = [" << seeds << "]\n"
       << "[placement]\n"
       << m_options.m_placement
       << (m_options.m_prompt_affinity ? "[dispatch]\nprompt_affinity = true\n"
                                       : "")
       << "[limits]\ndrain_limit_ms = " << vm.m_drain_limit.count() << "\n"
       << m_options.m_settings;
  ReplaceSettings(index, file.str());
}

void GatewayCluster::ReplaceSettings(size_t index, const std::string& text) {
  const std::string path = SettingsPath(index);
  const std::string fresh = Concat(path, ".new");
  std::ofstream(fresh) << text;
  std::filesystem::rename(fresh, path);
}

void GatewayCluster::StartVm(size_t index) {
  WriteSettings(index);
  LaunchVm(index);
}

void GatewayCluster::LaunchVm(size_t index) {
  struct Vm& vm = *m_vms[index];
  vm.m_process.Start({BRONZECROSS_DAEMON, "--role", "gateway", "--settings",
                      SettingsPath(index)},
                     Concat(vm.m_folder, "/log"));
  absl::MutexLock lock(&vm.m_mutex);
  vm.m_launched = MonotonicNow();
}

Millis GatewayCluster::LaunchedAt(size_t index) {
  absl::MutexLock lock(&m_vms[index]->m_mutex);
  return m_vms[index]->m_launched;
}

std::string GatewayCluster::SettingsPath(size_t index) const {
  return Concat(m_vms[index]->m_folder, "/settings.toml");
}

void GatewayCluster::SetSeeds(size_t index, std::vector<std::string> seeds) {
  absl::MutexLock lock(&m_vms[index]->m_mutex);
  m_vms[index]->m_seeds = std::move(seeds);
}

void GatewayCluster::SetDrainLimit(size_t index, Millis limit) {
  absl::MutexLock lock(&m_vms[index]->m_mutex);
  m_vms[index]->m_drain_limit = limit;
}

void GatewayCluster::ReloadVmFrom(size_t index, const std::string& text) {
  {
    absl::MutexLock lock(&m_vms[index]->m_mutex);
    ReplaceSettings(index, text);
  }
  m_vms[index]->m_process.SignalIfBlocked(SIGHUP);
}

void GatewayCluster::ReloadVm(size_t index) {
  WriteSettings(index);
  m_vms[index]->m_process.SignalIfBlocked(SIGHUP);
}

NetAddress GatewayCluster::BootstrapAddress(size_t vm) const {
  return NetAddress{m_ip, static_cast<uint16_t>(m_vms[vm]->m_bootstrap)};
}

NetAddress GatewayCluster::CallerAddress(size_t vm) const {
  return NetAddress{m_ip, static_cast<uint16_t>(m_vms[vm]->m_callers)};
}

NetAddress GatewayCluster::ReadinessAddress(size_t vm) const {
  return NetAddress{m_ip, static_cast<uint16_t>(m_vms[vm]->m_readiness)};
}

NetAddress GatewayCluster::MetricsAddress(size_t vm) const {
  return NetAddress{m_ip, static_cast<uint16_t>(m_vms[vm]->m_metrics)};
}

NetAddress GatewayCluster::PeerAddress(size_t vm) const {
  return NetAddress{m_ip, static_cast<uint16_t>(m_vms[vm]->m_peers)};
}

bool GatewayCluster::IsReady(size_t vm) {
  HttpCall call;
  call.m_url = Concat("http://", m_ip, ":", m_vms[vm]->m_readiness,
                      kPlatformReadinessPath);
  const Result<HttpAnswer> answer = m_http.Call(call);
  return answer && answer->m_status == 200;
}

void GatewayCluster::WaitReady(size_t vm) {
  if (!WaitFor([&] { return IsReady(vm); }, kStartTimeout)) {
    std::fprintf(stderr, "gateway cluster: vm %zu is not ready\n%s\n", vm,
                 LogOf(vm).c_str());
    std::abort();
  }
}

HttpAnswer GatewayCluster::Call(const GatewayRequest& request) {
  Result<HttpAnswer> answer = TryCall(request);
  return answer ? *std::move(answer) : HttpAnswer();
}

Result<HttpAnswer> GatewayCluster::TryCall(const GatewayRequest& request) {
  HttpCall call;
  call.m_method = request.m_method;
  call.m_url = Concat(CallerUrl(request.m_vm), request.m_target);
  call.m_headers =
      PlatformCallerFields(request.m_id, request.m_key, request.m_deadline_ms);
  call.m_headers.push_back({"Host", request.m_host});
  call.m_headers.insert(call.m_headers.end(), request.m_headers.begin(),
                        request.m_headers.end());
  call.m_body = request.m_body;
  call.m_timeout = kCallTimeout;
  call.m_fresh_connection = true;
  return m_http.Call(call);
}

json GatewayCluster::WaitForResults(int vm,
                                    const std::string& job,
                                    Millis timeout) {
  json last;
  WaitFor(
      [&] {
        GatewayRequest request;
        request.m_vm = vm;
        request.m_method = "GET";
        request.m_target = PlatformResultsPath(job);
        request.m_body = "";
        request.m_headers = {PlatformPollWait(Millis(200))};
        const HttpAnswer answer = Call(request);
        last = json::parse(answer.m_body, nullptr, false);
        return answer.m_status == 200 && last.is_object() &&
               last.value("total", -1) == last.value("next", 0);
      },
      timeout);
  return last;
}

}  // namespace bronzecross
