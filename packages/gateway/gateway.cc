#include "gateway/gateway.h"

#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>

#include <nlohmann/json.hpp>

#include "aio/wait.h"
#include "base/log.h"
#include "base/metrics.h"
#include "gateway/caller_connection.h"
#include "gateway/peer_server.h"
#include "placement/home_regions.h"
#include "platform/keys.h"
#include "quota/token_sharing.h"

namespace bronzecross {
namespace {

// Interval between the runs that carry out postponed removals and update the
// shares of the limits.
constexpr Millis kMaintenanceInterval{100};

// The gather time grows with the number of VMs. Its maximum is a small part of
// the time within which a draining upstream must stop receiving requests, which
// is several seconds.
constexpr Millis kGatherTimePerVm{8};
constexpr Millis kMaxGatherTime{600};

// Once the other VMs count this VM, it waits this long before it uses its share
// of the limits, so that the others have reduced theirs.
constexpr Millis kShareActivationDelay{800};

// Interval between queries to the seeds while no other VM is known.
constexpr Millis kSeedInterval{1'000};

// Time for requests to arrive on the connections that were accepted last.
constexpr Millis kLateArrivalTime{150};

// Interval at which the drain checks whether all requests have ended.
constexpr Millis kDrainPollInterval{50};

// Time reserved at the end of the drain limit for releasing the jobs and the
// lease.
constexpr Millis kReleaseTimeout{700};
constexpr Millis kExitMargin{1'000};

// Time for the rate tokens to reach their next owners.
constexpr Millis kHandoverTime{40};

// Delivers signals through a descriptor that the event loop polls.
class SignalSource : public IoTarget {
 public:
  explicit SignalSource(const sigset_t& set)
      : m_fd(signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC)),
        m_id(EventLoop::Current().Add(m_fd, *this)) {}
  ~SignalSource() override {
    EventLoop::Current().Remove(m_fd, m_id);
    close(m_fd);
  }
  SignalSource(const SignalSource&) = delete;
  SignalSource& operator=(const SignalSource&) = delete;

  // Returns the next signal, or 0 if none is pending.
  int Next() {
    signalfd_siginfo info = {};
    return read(m_fd, &info, sizeof(info)) == sizeof(info)
               ? static_cast<int>(info.ssi_signo)
               : 0;
  }
  Condition& Readable() { return m_readable; }
  void OnReady(IoReadiness) override { m_readable.NotifyAll(); }

 private:
  int m_fd;
  uint64_t m_id;
  Condition m_readable;
};

// The program blocks these signals when it starts.
sigset_t HandledSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGHUP);
  return set;
}

}  // namespace

Gateway::Gateway(GatewaySettings settings,
                 std::function<Result<GatewaySettings>()> reload)
    : m_node(std::move(settings)),
      m_operator_keys(m_node),
      m_operator_follower(m_node.m_kv,
                          std::string(platform::kOperatorPrefix),
                          m_operator_keys.Handlers()),
      m_upstream_follower(m_node.m_kv,
                          std::string(platform::kUpstreamPrefix),
                          UpstreamHandlers()),
      m_vm_follower(m_node.m_kv, std::string(kVmPrefix), VmHandlers()),
      m_peer_calls(m_node.m_cluster),
      m_gossip(m_node),
      m_jobs(JobDependencies{
          m_node.m_kv, m_node.m_cluster, m_node.m_upstreams,
          [this] { return m_node.m_config; },
          [this](std::string_view service) {
            const auto found = m_node.m_queues.find(service);
            return found == m_node.m_queues.end()
                       ? 0
                       : found->second.GetState().m_waiting;
          },
          [this] { return m_hears_fleet; }, [this] { m_gossip.SendSoon(); },
          m_node.m_settings.m_placement, m_node.m_settings.m_store_value_bytes,
          m_node.m_settings.m_result_retention}),
      m_reload(std::move(reload)) {
  m_node.m_gossip = &m_gossip;
  m_node.m_jobs = &m_jobs;
  m_node.m_peer_calls = &m_peer_calls;
  m_node.m_quotas.SetOwnerClient(&m_peer_calls);
  m_node.m_operator_follower = &m_operator_follower;
  m_node.m_upstream_follower = &m_upstream_follower;
  m_node.m_vm_follower = &m_vm_follower;
  // A configuration can be large.
  m_operator_follower.SetSource(&m_peer_calls, WatchLevels::kGroups);
  m_upstream_follower.SetSource(&m_peer_calls, WatchLevels::kFleetAndGroups);
  m_vm_follower.SetSource(&m_peer_calls, WatchLevels::kFleetAndGroups);
  m_node.m_kv.SetRelay(&m_peer_calls);
  // A region that isn't a home must not get the body of a batch job.
  m_peer_calls.SetRelayScope([this](std::string_view zone) {
    const PlacementSettings& placement = m_node.m_settings.m_placement;
    return m_node.m_config == nullptr || !m_node.m_config->m_has_homes ||
           RegionOfZone(zone, placement) ==
               OwnRegion(m_node.m_settings.m_zone, placement);
  });
}

Gateway::~Gateway() = default;

Status Gateway::AddListener(const NetAddress& address,
                            TcpListener::Acceptor acceptor,
                            ConnectionTable& table) {
  Result<std::unique_ptr<TcpListener>> listener =
      TcpListener::Open(address, std::move(acceptor), &table);
  if (!listener) {
    return tl::unexpected<Error>(listener.error());
  }
  m_listeners.push_back(*std::move(listener));
  return {};
}

Status Gateway::AddProbes(const NetAddress& address,
                          const ProbeHandler& handler,
                          ConnectionTable& table) {
  return AddListener(
      address,
      [this, handler, &table](std::unique_ptr<TcpStream> stream) {
        SpawnIsolated(ServeProbes(m_node, table, std::move(stream), handler));
      },
      table);
}

Status Gateway::Listen() {
  const GatewaySettings& settings = m_node.m_settings;
  const TcpListener::Acceptor peers =
      [this](std::unique_ptr<TcpStream> stream) {
        SpawnIsolated(ServePeer(m_node, std::move(stream)));
      };
  const ProbeHandler readiness = [this] {
    CallerReply reply;
    reply.m_status = m_node.IsReady() ? 200 : 503;
    return reply;
  };
  const ProbeHandler metrics = [this] {
    SetGauge("bronzecross_held_bytes", {},
             static_cast<double>(m_node.m_budget.HeldBytes()));
    SetGauge("bronzecross_caller_connections", {},
             static_cast<double>(m_node.m_caller_table.Size()));
    CallerReply reply;
    reply.m_content_type = "text/plain; version=0.0.4";
    reply.m_body = SerializeMetrics();
    return reply;
  };
  Status opened = m_gossip.Open();
  if (opened) {
    opened = AddListener(settings.m_peers, peers, m_node.m_peer_table);
  }
  if (opened) {
    opened = AddListener(settings.m_bootstrap, peers, m_node.m_peer_table);
  }
  if (opened) {
    opened =
        AddProbes(settings.m_readiness, readiness, m_node.m_readiness_table);
  }
  if (opened) {
    opened = AddProbes(settings.m_metrics, metrics, m_node.m_metrics_table);
  }
  if (!opened) {
    return opened;
  }
  Result<std::unique_ptr<TcpListener>> callers = TcpListener::Open(
      settings.m_callers,
      [this](std::unique_ptr<TcpStream> stream) {
        SpawnIsolated(ServeCaller(m_node, std::move(stream)));
      },
      &m_node.m_caller_table);
  if (!callers) {
    return tl::unexpected<Error>(callers.error());
  }
  m_caller_listener = *std::move(callers);
  return {};
}

PrefixHandlers Gateway::UpstreamHandlers() {
  PrefixHandlers handlers;
  handlers.m_on_snapshot = [this](std::span<const KvItem> items) {
    m_node.m_upstreams.OnSnapshot(items);
    m_node.DispatchAll();
  };
  handlers.m_on_event = [this](const KvEvent& event) {
    m_node.m_upstreams.OnEvent(event);
    m_node.DispatchAll();
  };
  return handlers;
}

PrefixHandlers Gateway::VmHandlers() {
  PrefixHandlers handlers;
  handlers.m_on_snapshot = [this](std::span<const KvItem> items) {
    m_node.m_cluster.OnSnapshot(items);
    OnFleetChange();
    m_node.m_configured.NotifyAll();
  };
  handlers.m_on_event = [this](const KvEvent& event) {
    m_node.m_cluster.OnEvent(event);
  };
  return handlers;
}

namespace {

// Returns how long changes of the lists of upstreams and VMs are collected
// before they are handled together. Each change ends the watch of every VM, and
// every new watch adds to the cost of store calls.
Millis GatherTime(int vms) {
  return std::clamp(kGatherTimePerVm * vms, kMinCoalescingDelay,
                    kMaxGatherTime);
}

}  // namespace

void Gateway::OnFleetChange() {
  m_node.m_cluster.RefreshGroup(MonotonicNow());
  const int vms = m_node.m_cluster.OwnGroup().m_fleet_size;
  m_upstream_follower.SetCoalescingDelay(GatherTime(vms));
  m_vm_follower.SetCoalescingDelay(GatherTime(vms));
  m_node.m_registration.SetFleetSize(vms);
}

Task<> Gateway::RunMaintenance() {
  Millis counted_since;  // zero until the other VMs count this one
  for (;;) {
    const Millis now = MonotonicNow();
    if (m_node.m_upstreams.HoldAfterFreeze(now)) {
      Spawn(ReadAfterFreeze());
    }
    m_node.m_upstreams.DropPostponed(now);
    m_node.m_cluster.Expire(now);
    m_node.m_poison_requests.Expire(BootNow());
    if (m_node.m_crashing_parts.Update(now)) {
      m_gossip.SendToAllSoon();
    }
    if (m_node.m_cluster.IsLoaded()) {
      OnFleetChange();
    }
    m_node.m_upstreams.RefreshSubset(m_node.m_cluster.OwnGroup(),
                                     m_node.m_settings.m_zone);
    const int members = m_node.m_cluster.CountMembers(now);
    const int recently_seen = m_node.m_cluster.CountRecentlySeen(now);
    const bool is_lease_held = m_node.m_registration.IsLeaseHeld();
    // The other VMs count this one if it is registered in the store or if they
    // receive its gossip. Receiving gossip from most of them is taken as a sign
    // of the latter.
    const bool is_counted =
        is_lease_held || (members > 1 && 2 * recently_seen > members);
    // In a fleet whose gossip is too rare to show who is alive, jobs are taken
    // over only after the end of their owner's registration.
    m_hears_fleet = 2 * recently_seen > members ||
                    (!IsGossipFrequent(members) && is_lease_held);
    counted_since =
        is_counted && counted_since == Millis() ? now : counted_since;
    const bool has_settled = counted_since != Millis() &&
                             (now - counted_since >= kShareActivationDelay ||
                              m_node.m_cluster.ReplacesEarlierIncarnation());
    m_node.m_quotas.SetShareActive(
        has_settled && IsShareActive(is_lease_held, recently_seen, members),
        now);
    m_node.m_upstreams.UpdateCold(m_node.m_cluster, is_lease_held, now);
    m_node.DispatchAll();
    co_await Sleep(kMaintenanceInterval);
  }
}

Task<> Gateway::ReadAfterFreeze() {
  const bool has_read = co_await m_operator_follower.ReadChanges();
  if (has_read) {
    m_node.m_upstreams.EndHold();
    m_node.DispatchAll();
  }
}

Task<> Gateway::QuerySeed(NetAddress seed) {
  WholeRequest request;
  request.m_head.m_method = "GET";
  request.m_head.m_target = std::string(kPeerVmsPath);
  const Result<WholeResponse> response = co_await m_peer_calls.CallAddress(
      seed, std::move(request), MonotonicNow() + kSeedInterval);
  if (!response) {
    co_return;
  }
  const nlohmann::json list =
      nlohmann::json::parse(response->m_body, nullptr, false);
  if (!list.is_array()) {
    co_return;
  }
  for (const nlohmann::json& entry : list) {
    const std::optional<VmRecord> record =
        entry.is_string() ? DecodeVmRecord(entry.get<std::string>())
                          : std::nullopt;
    if (record) {
      m_node.m_cluster.AddReportedVm(*record);
    }
  }
}

Task<> Gateway::QuerySeeds() {
  // The list of VMs in the store replaces the seeds as soon as it can be read.
  while (m_node.m_cluster.Peers().empty()) {
    // SIGHUP may replace the list while a query is suspended.
    const std::vector<NetAddress> seeds = m_node.m_live_settings.Seeds();
    for (const NetAddress& seed : seeds) {
      if (seed != m_node.m_settings.m_bootstrap) {
        co_await QuerySeed(seed);
      }
    }
    co_await Sleep(kSeedInterval);
  }
}

void Gateway::StartTasks() {
  Spawn(m_operator_follower.Run());
  Spawn(m_upstream_follower.Run());
  Spawn(m_vm_follower.Run());
  // Other VMs learn of missed changes of these two lists by gossip.
  Spawn(m_operator_follower.RunChecks());
  Spawn(m_upstream_follower.RunChecks());
  Spawn(m_node.m_registration.Run());
  Spawn(m_gossip.Run());
  Spawn(m_jobs.Scheduler().Run());
  Spawn(m_jobs.Takeover().Run());
  Spawn(RunMaintenance());
  Spawn(QuerySeeds());
}

void Gateway::Reload() {
  const Result<GatewaySettings> settings = m_reload();
  if (!settings) {
    LogError(Severity::kError, LogPart::kMain,
             "The settings can't be read; the current ones stay in use.",
             settings.error());
    return;
  }
  m_node.m_live_settings.Replace(*settings);
  InitBufferedLog(settings->m_log_level, settings->m_log_format);
  Log(Severity::kInfo, LogPart::kMain, "Read the settings again.",
      {{"seeds", settings->m_seeds.size()}});
}

Task<> Gateway::Drain() {
  const Millis started = MonotonicNow();
  Log(Severity::kInfo, LogPart::kMain, "Draining.",
      {{"callers", m_node.m_caller_connections},
       {"requests", m_node.m_requests_in_progress}});
  const Millis limit =
      started + m_node.m_live_settings.DrainLimit() - kExitMargin;
  m_node.m_draining_since = started;
  m_node.m_drain = MakeDrainTimes(started, limit);
  m_node.m_drain_started.NotifyAll();
  m_jobs.Drain();
  for (PrefixFollower* follower :
       {&m_operator_follower, &m_upstream_follower, &m_vm_follower}) {
    follower->StopSharing();
  }
  co_await WaitAny(m_node.m_drain.m_noticed);
  // New connections are rejected from here on, so that none is cut off when the
  // process exits.
  m_caller_listener->AcceptPending();
  m_caller_listener.reset();
  co_await Sleep(kLateArrivalTime);
  bool released = false;
  while (MonotonicNow() < limit &&
         (m_node.m_requests_in_progress > 0 || !released)) {
    if (m_node.m_requests_in_progress == 0) {
      released = true;
      co_await m_jobs.Scheduler().ReleaseAll(MonotonicNow() + kReleaseTimeout);
    } else {
      co_await Sleep(kDrainPollInterval);
    }
  }
  m_node.EndRequests();
  if (!released) {
    co_await m_jobs.Scheduler().ReleaseAll(MonotonicNow() + kReleaseTimeout);
  }
  Log(Severity::kInfo, LogPart::kMain, "Stopping.",
      {{"callers", m_node.m_caller_connections},
       {"requests", m_node.m_requests_in_progress},
       {"ms", MonotonicNow() - started}});
  m_node.m_quotas.HandOverAll(MonotonicNow());
  co_await Sleep(kHandoverTime);
  co_await m_node.m_registration.End();
  m_loop.Stop();
}

Task<> Gateway::WatchSignals() {
  SignalSource signals(HandledSignals());
  for (;;) {
    const int signal = signals.Next();
    if (signal == SIGHUP) {
      Reload();
    } else if (signal != 0) {
      co_await Drain();
      co_return;
    } else {
      WaitAny wait(kNever);
      wait.Add(signals.Readable());
      co_await wait;
    }
  }
}

Status Gateway::Run() {
  const Status listening = Listen();
  if (!listening) {
    return listening;
  }
  Log(Severity::kInfo, LogPart::kMain, "Started.",
      {{"vm", m_node.m_settings.m_vm_id},
       {"zone", m_node.m_settings.m_zone},
       {"callers", m_node.m_settings.m_callers.ToString()},
       {"store", m_node.m_settings.m_store.ToString()},
       {"incarnation", m_node.m_cluster.Self().m_incarnation}});
  m_loop.SetIdleHook([] { FlushLog(); });
  Spawn(WatchSignals());
  StartTasks();
  m_loop.Run();
  FlushLog();
  return {};
}

}  // namespace bronzecross
