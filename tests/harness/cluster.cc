#include "harness/cluster.h"

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <absl/strings/str_cat.h>

#include "base/hash.h"
#include "base/random.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr Millis kPoll{10};
constexpr Millis kStoreTimeout{1000};
constexpr const char* kZones[] = {"zone-a", "zone-b", "zone-c"};
constexpr size_t kZoneCount = 3;

[[noreturn]] void Abort(const std::string& reason) {
  std::fprintf(stderr, "cluster: %s\n", reason.c_str());
  std::abort();
}

std::string MakeFolder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "bronzecross-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    Abort("cannot make a folder");
  }
  return pattern;
}

}  // namespace

bool WaitFor(const std::function<bool()>& condition, Millis timeout) {
  const Millis deadline = MonotonicNow() + timeout;
  while (!condition()) {
    if (MonotonicNow() >= deadline) {
      return false;
    }
    SleepFor(kPoll);
  }
  return true;
}

Cluster::Cluster(ClusterOptions options)
    : m_options(std::move(options)),
      m_folder(MakeFolder()),
      m_kv(m_options.m_seed),
      m_kv_client({m_kv.Url()}, kStoreTimeout) {
  for (size_t i = 0; i < m_options.m_engines.size(); ++i) {
    EngineOptions engine = m_options.m_engines[i];
    engine.m_name = absl::StrCat("engine-", i);
    m_engines.push_back(std::make_unique<EngineStandin>(engine));
  }
  for (int i = 0; i < m_options.m_services; ++i) {
    ServiceOptions service;
    service.m_name = absl::StrCat("service-", i);
    m_services.push_back(std::make_unique<ServiceStandin>(service));
  }
  MakeManifest();
  Publish();
  for (int vm = 0; vm < m_options.m_vms; ++vm) {
    m_vms.push_back(std::make_unique<VmSlot>());
    if (m_options.m_proxies) {
      const Result<NetAddress> store =
          ParseNetAddress(m_kv.Url().substr(std::string("http://").size()));
      m_vms[vm]->m_store_proxy = std::make_unique<FaultProxy>(*store);
      for (int viewer = 0; viewer < m_options.m_vms; ++viewer) {
        m_vms[vm]->m_peer_proxies.push_back(
            std::make_unique<FaultProxy>(NetAddress{"127.0.0.1", 1}));
      }
    }
  }
  for (int vm = 0; vm < m_options.m_vms; ++vm) {
    StartVm(vm);
  }
  for (int vm = 0; vm < m_options.m_vms; ++vm) {
    if (!WaitReady(vm)) {
      Abort(absl::StrCat(VmId(vm), " does not get ready; see ", LogPath(vm)));
    }
  }
  if (!WaitLive(m_options.m_vms)) {
    Abort("the VMs do not see each other");
  }
}

Cluster::~Cluster() {
  for (const std::unique_ptr<VmSlot>& vm : m_vms) {
    vm->m_process.Kill();
  }
  m_vms.clear();
  // Kept for reading where a test asks for it.
  if (std::getenv("BRONZECROSS_KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(m_folder);
  }
}

void Cluster::MakeManifest() {
  m_manifest.m_halves = {"north", "south"};
  m_manifest.m_models.push_back({"m", "v1", {}, 1});
  for (int i = 0; i < m_options.m_workspaces; ++i) {
    const std::string name = absl::StrCat("ws-", i);
    m_manifest.m_workspaces.push_back(
        {name, m_options.m_rate_per_s, m_options.m_burst});
    m_manifest.m_keys.push_back(
        {absl::StrCat("id-", i), name, Sha256Hex(Key(i)), false});
  }
  for (size_t i = 0; i < m_engines.size(); ++i) {
    UpstreamSpec& spec = m_manifest.m_upstreams.emplace_back();
    spec.m_name = absl::StrCat("engine-", i);
    spec.m_url = m_engines[i]->Url();
    spec.m_models = {"m"};
    spec.m_slots = m_options.m_engines[i].m_slots;
    spec.m_availability_zone = kZones[i % kZoneCount];
    spec.m_checks_fencing = m_options.m_engines[i].m_checks_fencing;
  }
  for (size_t i = 0; i < m_services.size(); ++i) {
    UpstreamSpec& spec = m_manifest.m_upstreams.emplace_back();
    spec.m_name = absl::StrCat("service-", i);
    spec.m_kind = UpstreamKind::kService;
    spec.m_service = "desk";
    spec.m_url = m_services[i]->Url();
    spec.m_availability_zone = kZones[i % kZoneCount];
  }
  if (!m_services.empty()) {
    m_manifest.m_routes.push_back(
        {"/desk/receipts", "desk", {"POST"}, false, false, 10'000});
    m_manifest.m_routes.push_back(
        {"/desk/lookup", "desk", {"GET", "POST"}, true, false, 10'000});
    m_manifest.m_routes.push_back(
        {"/desk/open", "desk", {"GET"}, true, true, 10'000});
  }
}

int64_t Cluster::Publish() {
  const Result<int64_t> published = TryPublish();
  if (!published) {
    Abort(published.error().m_message);
  }
  return *published;
}

Result<int64_t> Cluster::TryPublish() {
  const Result<std::optional<KvEntry>> entry =
      m_kv_client.Get("/bronzecross/manifest");
  if (!entry) {
    return tl::unexpected<Error>(entry.error());
  }
  Manifest next = m_manifest;
  AssignNextGeneration(m_published, next);
  json document = ManifestToJson(next);
  document["writer"] = RandomId();
  const Result<int64_t> written =
      m_kv_client.Commit({{"/bronzecross/manifest", document.dump(),
                           *entry ? (*entry)->m_mod_revision : 0}});
  if (!written) {
    return tl::unexpected<Error>(written.error());
  }
  m_manifest = next;
  m_published = next;
  return next.m_generation;
}

void Cluster::AdoptPublished() {
  const Result<Manifest> stored =
      ParseManifestJson(m_kv.Get("/bronzecross/manifest"));
  if (stored) {
    m_manifest.m_generation = stored->m_generation;
    m_manifest.m_halves_generation = stored->m_halves_generation;
    m_published = m_manifest;
  }
}

std::string Cluster::Url(int vm) const {
  return absl::StrCat("http://127.0.0.1:", m_vms[vm]->m_http);
}

std::string Cluster::AdminUrl(int vm) const {
  return absl::StrCat("http://127.0.0.1:", m_vms[vm]->m_admin);
}

std::string Cluster::DataFolder(int vm) const {
  return absl::StrCat(m_folder, "/", VmId(vm), "-data");
}

std::string Cluster::LogPath(int vm) const {
  return absl::StrCat(m_folder, "/", VmId(vm), ".log");
}

FaultProxy& Cluster::PeerProxy(int viewer, int target) {
  return *m_vms[target]->m_peer_proxies.at(static_cast<size_t>(viewer));
}

FaultProxy& Cluster::StoreProxy(int vm) {
  return *m_vms[vm]->m_store_proxy;
}

std::string Cluster::MakeSettings(int vm) {
  const VmSlot& slot = *m_vms[vm];
  std::string text =
      absl::StrCat("[vm]\nid = \"", VmId(vm), "\"\navailability_zone = \"",
                   kZones[static_cast<size_t>(vm) % kZoneCount], "\"\n");
  if (vm < m_options.m_data_vms) {
    std::filesystem::create_directories(DataFolder(vm));
    absl::StrAppend(&text, "data_dir = \"", DataFolder(vm), "\"\n");
    if (m_options.m_data_max_bytes > 0) {
      absl::StrAppend(&text, "data_max_bytes = ", m_options.m_data_max_bytes,
                      "\n");
    }
  }
  const size_t index = static_cast<size_t>(vm);
  if (index < m_options.m_vm_halves.size() &&
      !m_options.m_vm_halves[index].empty()) {
    absl::StrAppend(&text, "halves = [\"", m_options.m_vm_halves[index],
                    "\"]\n");
  }
  absl::StrAppend(
      &text,
      "[listen]\nhttp = \"127.0.0.1:0\"\npeer = \"127.0.0.1:0\"\n"
      "admin = \"127.0.0.1:0\"\nport_file = \"",
      m_folder, "/", VmId(vm), ".ports\"\n[store]\nendpoints = [\"",
      slot.m_store_proxy != nullptr ? slot.m_store_proxy->Url() : m_kv.Url(),
      "\"]\n[vm_list]\nurl = \"", m_vm_list.UrlFor(VmId(vm)),
      "\"\npoll_ms = ", m_options.m_vm_list_poll_ms, "\n", m_options.m_settings,
      "\n");
  return text;
}

void Cluster::StartVm(int vm) {
  const std::string settings = absl::StrCat(m_folder, "/", VmId(vm), ".toml");
  const std::string ports = absl::StrCat(m_folder, "/", VmId(vm), ".ports");
  std::ofstream(settings) << MakeSettings(vm);
  std::filesystem::remove(ports);
  m_vms[vm]->m_process.Start({BRONZECROSS_DAEMON, "--settings", settings},
                             LogPath(vm));
  if (!WaitFor([&] { return std::filesystem::exists(ports); })) {
    Abort(absl::StrCat(VmId(vm), " does not start; see ", LogPath(vm)));
  }
  ReadPorts(vm);
}

void Cluster::ReadPorts(int vm) {
  std::ifstream file(absl::StrCat(m_folder, "/", VmId(vm), ".ports"));
  const json ports = json::parse(file);
  VmSlot& slot = *m_vms[vm];
  ports.at("http").get_to(slot.m_http);
  ports.at("peer").get_to(slot.m_peer);
  ports.at("admin").get_to(slot.m_admin);
  for (size_t viewer = 0; viewer < slot.m_peer_proxies.size(); ++viewer) {
    slot.m_peer_proxies[viewer]->SetTarget(
        {"127.0.0.1", static_cast<uint16_t>(slot.m_peer)});
    m_vm_list.ShowPort(VmId(static_cast<int>(viewer)), VmId(vm),
                       slot.m_peer_proxies[viewer]->Address().m_port);
  }
  m_vm_list.Set({VmId(vm), "127.0.0.1", slot.m_peer,
                 kZones[static_cast<size_t>(vm) % kZoneCount], false});
}

json Cluster::Status(int vm) {
  return m_caller.CallJson("GET", AdminUrl(vm) + "/status", "");
}

bool Cluster::WaitReady(int vm, Millis timeout) {
  return WaitFor(
      [&] {
        const Result<HttpAnswer> answer = m_caller.Call(
            "GET", AdminUrl(vm) + "/readyz", "", "", {}, Millis(1000));
        return answer && answer->m_status == 200;
      },
      timeout);
}

bool Cluster::WaitLive(int live, Millis timeout) {
  return WaitFor(
      [&] {
        for (int vm = 0; vm < m_options.m_vms; ++vm) {
          if (!m_vms[vm]->m_process.IsRunning()) {
            continue;
          }
          const json status = Status(vm);
          if (!status.is_object() ||
              static_cast<int>(status["live"].size()) != live) {
            return false;
          }
        }
        return true;
      },
      timeout);
}

}  // namespace bronzecross
