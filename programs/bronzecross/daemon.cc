#include "daemon.h"

#include <cstdio>
#include <fstream>

#include <absl/strings/str_cat.h>

#include "admin_server.h"
#include "base/log.h"
#include "http/body_budget.h"
#include "peers/h2_socket.h"
#include "request_router.h"
#include "stale_config_gate.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr Millis kDrainPollInterval{20};
constexpr Millis kDrainQuietPeriod{1000};
// Time for the responses of the last requests to be sent.
constexpr Millis kDrainResponseTime{200};

MembershipOptions MakeMembershipOptions(const Settings& settings) {
  MembershipOptions options;
  options.m_self.m_id = settings.m_vm_id;
  options.m_self.m_availability_zone = settings.m_availability_zone;
  options.m_self.m_incarnation = WallNow().count();
  options.m_self.m_has_data_dir = !settings.m_data_dir.empty();
  options.m_vm_list_url = settings.m_vm_list_url;
  options.m_vm_list_poll = settings.m_vm_list_poll;
  options.m_heartbeat_interval = settings.m_heartbeat_interval;
  options.m_max_heartbeats_per_s = settings.m_max_heartbeats_per_s;
  return options;
}

// Returns the path of the cached manifest, or an empty path on a VM without a
// data directory.
std::string MakeCachePath(const Settings& settings) {
  return settings.m_data_dir.empty()
             ? ""
             : settings.m_data_dir + "/manifest-cache.json";
}

LedgerOptions MakeLedgerOptions(const Settings& settings) {
  LedgerOptions options;
  options.m_prefix = settings.m_store_prefix + "ledgers/";
  options.m_data_dir = settings.m_data_dir;
  options.m_data_max_bytes = settings.m_data_max_bytes;
  options.m_copy_timeout = settings.m_ledger_copy_timeout;
  options.m_append_timeout = settings.m_ledger_append_timeout;
  options.m_repair_bytes_per_s = settings.m_ledger_repair_bytes_per_s;
  options.m_repair_interval = settings.m_ledger_repair_interval;
  options.m_repair_after = settings.m_ledger_repair_after;
  return options;
}

ReceiptOptions MakeReceiptOptions(const Settings& settings) {
  ReceiptOptions options;
  options.m_retention_time = settings.m_receipt_retention;
  options.m_max_entries = settings.m_receipt_max_entries;
  options.m_max_reply_bytes = settings.m_receipt_memory_bytes / kReceiptShards;
  return options;
}

LimiterOptions MakeLimiterOptions(const Settings& settings) {
  LimiterOptions options;
  options.m_mode =
      settings.m_limits_static ? LimitMode::kStatic : LimitMode::kSlots;
  options.m_slots.m_store_prefix = settings.m_store_prefix;
  options.m_slots.m_slots = settings.m_limit_slots;
  options.m_borrow_wait = settings.m_borrow_wait;
  return options;
}

OrderPlacerOptions MakeOrderOptions(const Settings& settings) {
  OrderPlacerOptions options;
  options.m_halves = settings.m_halves;
  options.m_store_prefix = settings.m_store_prefix;
  return options;
}

HttpServerOptions MakeCallerOptions(const Settings& settings) {
  HttpServerOptions options;
  options.m_address = settings.m_http_address;
  options.m_max_header_bytes = settings.m_max_header_bytes;
  options.m_max_connections = settings.m_max_connections;
  options.m_idle_timeout = settings.m_idle_timeout;
  options.m_max_held_bytes = settings.m_http_budget_bytes > 0
                                 ? settings.m_http_budget_bytes
                                 : DefaultBodyBudget();
  return options;
}

HttpServerOptions MakeAdminOptions(const Settings& settings) {
  HttpServerOptions options;
  options.m_address = settings.m_admin_address;
  options.m_max_connections = 64;
  return options;
}

OnlineOptions MakeOnlineOptions(const Settings& settings) {
  OnlineOptions options;
  options.m_vm_id = settings.m_vm_id;
  options.m_request_timeout = settings.m_request_timeout;
  options.m_max_queue = static_cast<size_t>(settings.m_max_queue);
  options.m_prefix_routing = settings.m_prefix_routing;
  options.m_throttle.m_retry_after = settings.m_retry_after;
  options.m_throttle.m_cache_refusals = settings.m_cache_refusals;
  options.m_throttle.m_count_every_5xx = settings.m_count_every_5xx;
  return options;
}

}  // namespace

Daemon::Daemon(const Settings& settings)
    : m_settings(settings),
      m_store(settings.m_store_endpoints, settings.m_store_timeout),
      m_peer_server(settings.m_peer_address),
      m_membership(MakeMembershipOptions(settings),
                   m_peer_server,
                   m_peer_client),
      m_ledger(MakeLedgerOptions(settings),
               m_store,
               m_membership,
               m_peer_server),
      m_receipts(MakeReceiptOptions(settings),
                 settings.m_store_prefix,
                 m_store,
                 m_membership,
                 m_ledger,
                 m_peer_server),
      m_limiter(MakeLimiterOptions(settings),
                m_config,
                m_membership,
                m_peer_server,
                m_store,
                [this] { return CurrentLease(); }),
      m_upstreams(m_config, m_membership, m_http, settings.m_halves),
      m_key_guard(m_config, [this] { return m_distributor.IsFresh(); }),
      m_poison_request_guard(m_membership, m_http),
      m_online(m_config,
               m_limiter,
               m_upstreams,
               m_poison_request_guard,
               m_http,
               m_key_guard,
               MakeOnlineOptions(settings)),
      m_files(m_config,
              m_store,
              m_ledger,
              settings.m_store_prefix,
              settings.m_max_file_bytes),
      m_batch({m_config, m_store, settings.m_store_prefix, m_membership,
               m_peer_server, m_ledger, m_files, m_http,
               MakeUpstreamAccess(m_upstreams)},
              settings.m_batch),
      m_orders(
          MakeOrderOptions(settings),
          {[this] { return CurrentLease(); },
           [this](const std::string& upstream) { return InFlight(upstream); }},
          m_config,
          m_membership,
          m_store),
      m_distributor(m_config,
                    m_store,
                    m_membership,
                    m_peer_server,
                    settings.m_store_prefix + "manifest",
                    MakeCachePath(settings)),
      m_caller_server(
          MakeCallerOptions(settings),
          GateStaleConfig(MakeCallerHandlers(m_settings, m_online, m_batch),
                          m_config,
                          [this] { return m_distributor.IsFresh(); })),
      m_admin_server(MakeAdminOptions(settings),
                     MakeAdminHandlers({[this] { return IsReady(); },
                                        [this] { return MakeStatus(); }})) {
  m_upstreams.SetOnlineFullCallback(
      [this](std::string_view name) { m_batch.ReportOnlineAtCapacity(name); });
  m_upstreams.SetBlockedPredicate([this](const std::string& upstream) {
    return m_orders.IsBlocked(upstream);
  });
}

Status Daemon::Start() {
  m_online.UseReceipts(m_receipts);
  for (const Status& started : {m_peer_server.Start(), m_caller_server.Start(),
                                m_admin_server.Start()}) {
    if (!started) {
      return started;
    }
  }
  m_distributor.Start();
  m_membership.Start();
  m_ledger.Start();
  m_receipts.Start();
  m_upstreams.Start();
  m_batch.Start();
  m_key_guard.Start();
  const json record = {{"id", m_settings.m_vm_id},
                       {"zone", m_settings.m_availability_zone},
                       {"incarnation", m_membership.Self().m_incarnation},
                       {"peer", m_peer_server.Address().ToString()},
                       {"admin", m_admin_server.Address().ToString()}};
  m_vm_lease = std::make_unique<VmLease>(
      m_store,
      absl::StrCat(m_settings.m_store_prefix, "vms/", m_settings.m_vm_id),
      record.dump(), m_settings.m_vm_lease_ttl);
  m_vm_lease->Start();
  m_lease_view = m_vm_lease.get();
  m_orders.Start();
  m_limiter.Start();
  Log(Severity::kInfo, LogPart::kMain, "Started.",
      {{"vm", m_settings.m_vm_id},
       {"zone", m_settings.m_availability_zone},
       {"http", m_caller_server.Address().ToString()},
       {"peer", m_peer_server.Address().ToString()},
       {"admin", m_admin_server.Address().ToString()}});
  return WritePortFile();
}

Status Daemon::WritePortFile() const {
  if (m_settings.m_port_file.empty()) {
    return {};
  }
  const json ports = {{"http", m_caller_server.Address().m_port},
                      {"peer", m_peer_server.Address().m_port},
                      {"admin", m_admin_server.Address().m_port}};
  // Written to a temporary file and renamed, so that readers never see a
  // partial file.
  const std::string temporary_path = m_settings.m_port_file + ".new";
  {
    std::ofstream file(temporary_path);
    file << ports.dump() << "\n";
  }
  if (std::rename(temporary_path.c_str(), m_settings.m_port_file.c_str()) !=
      0) {
    return Fail(ResultCode::kInvalidSettings,
                absl::StrCat("cannot write ", m_settings.m_port_file));
  }
  return {};
}

// Returns the number of requests that all VMs have in flight on the upstream.
int64_t Daemon::InFlight(const std::string& upstream) {
  const std::shared_ptr<const ConfigSnapshot> config = m_config.Get();
  const UpstreamSpec* spec = config->FindUpstream(upstream);
  if (spec == nullptr) {
    return 0;
  }
  const UpstreamLoad load = m_upstreams.LoadOf(*spec);
  return load.m_own_online + load.m_own_batch + load.m_peers_online +
         load.m_peers_batch;
}

KvLease Daemon::CurrentLease() const {
  const VmLease* lease = m_lease_view;
  return lease == nullptr ? KvLease{} : lease->Current();
}

bool Daemon::IsReady() const {
  return !m_draining && m_distributor.IsFresh() && m_limiter.IsReady();
}

json Daemon::MakeStatus() const {
  json live = json::array();
  for (const Member& member : m_membership.Live()) {
    live.push_back(member.m_id);
  }
  json members = json::array();
  for (const Member& member : m_membership.Known()) {
    members.push_back({{"id", member.m_id},
                       {"incarnation", member.m_incarnation},
                       {"leaving", IsLeaving(member)}});
  }
  return {{"vm", m_settings.m_vm_id},
          {"zone", m_settings.m_availability_zone},
          {"ready", IsReady()},
          {"draining", m_draining.load()},
          {"generation", m_config.Get()->Generation()},
          {"live", live},
          {"members", members},
          {"leaving_upstreams", m_membership.LeavingUpstreams()},
          {"config", m_distributor.MakeStatus()},
          {"lease_held", m_vm_lease != nullptr && m_vm_lease->IsHeld()},
          {"slots", m_limiter.Describe()},
          {"store_calls", m_store.Calls()},
          {"peer_bytes", PeerBytesTotal()},
          {"active_requests", m_caller_server.ActiveRequests()}};
}

// A client may already have sent a request on a connection that looks idle
// here, so idle connections are closed only after none was used for
// kDrainQuietPeriod.
bool Daemon::IsQuiet() const {
  return m_caller_server.ActiveRequests() == 0 &&
         (m_caller_server.OpenConnections() == 0 ||
          MonotonicNow() - m_caller_server.LastActivity() >= kDrainQuietPeriod);
}

void Daemon::Drain() {
  Log(Severity::kInfo, LogPart::kMain, "Draining.",
      {{"active", m_caller_server.ActiveRequests()}});
  const Millis deadline =
      MonotonicNow() + m_settings.m_drain_notice + m_settings.m_drain_timeout;
  m_online.SetDrainEnd(deadline - kDrainResponseTime);
  m_draining = true;
  m_membership.SetDraining();
  m_caller_server.AnnounceClose();
  SleepFor(m_settings.m_drain_notice);
  m_caller_server.StopListening();
  while (!IsQuiet() && MonotonicNow() < deadline) {
    SleepFor(kDrainPollInterval);
  }
  Log(Severity::kInfo, LogPart::kMain, "Closing the callers' connections.",
      {{"active", m_caller_server.ActiveRequests()},
       {"open", m_caller_server.OpenConnections()}});
  m_caller_server.Stop();
  m_key_guard.Stop();
  m_batch.Stop();
  m_receipts.Stop();
  m_ledger.Stop();
  m_limiter.Stop();
  m_orders.Stop();
  m_vm_lease->Stop();
  m_distributor.Stop();
  m_upstreams.Stop();
  m_membership.Stop();
  m_peer_server.Stop();
  m_admin_server.Stop();
  Log(Severity::kInfo, LogPart::kMain, "Stopped.");
}

}  // namespace bronzecross
