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
#include "platform/config_document.h"
#include "platform/keys.h"
#include "quota/token_sharing.h"

namespace bronzecross {
namespace {

// How often postponed removals and shares of the limits are looked at.
constexpr Millis kUpkeepEvery{100};

// The longest pause leaves most of the time in which a draining upstream must
// get no more requests, which is seconds.
constexpr Millis kGatherPerVm{8};
constexpr Millis kLongestGatherTime{600};

// After the others count it a VM waits this long before it uses its share of
// the limits, so that the others have reduced theirs.
constexpr Millis kShareDelay{800};

// How often seeds are asked for VMs while no VM is known.
constexpr Millis kSeedEvery{1'000};

// While the VM stops, its listener stays open so long: the load balancer takes
// a VM out after two failed checks, one a second.
constexpr Millis kDrainNotice{2'600};

// Requests on connections that were accepted last arrive within this time.
constexpr Millis kLastArrivals{150};

// How often the drain looks whether all requests have ended.
constexpr Millis kDrainStep{50};

// Time kept of the drain limit for giving up jobs and the lease.
constexpr Millis kReleaseTime{700};
constexpr Millis kExitMargin{1'000};

// How long a check of the load balancer or of metrics may take.
constexpr Millis kCheckTimeout{5'000};

using Answerer = std::function<CallerReply()>;

// Serves a connection on which every request gets the same kind of answer.
Task<> ServeChecks(std::unique_ptr<TcpStream> stream, Answerer answer) {
  HttpConnection client(std::move(stream), MessageKind::kRequest);
  for (;;) {
    const bool has_head =
        co_await client.ReadHead(MonotonicNow() + kCheckTimeout);
    if (!has_head) {
      co_return;
    }
    const bool has_body =
        co_await client.ReadBody(MonotonicNow() + kCheckTimeout, 0);
    if (!has_body) {
      co_return;
    }
    const bool keep = client.Parser().MayKeepAlive();
    client.Queue(answer().Serialize(keep));
    const bool sent = co_await client.FlushAll(MonotonicNow() + kCheckTimeout);
    if (!sent || !keep) {
      co_return;
    }
    client.StartNextMessage();
  }
}

// Signals as a descriptor of the loop.
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

  // The next signal; 0 if there is none.
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

sigset_t BlockSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGHUP);
  sigprocmask(SIG_BLOCK, &set, nullptr);
  return set;
}

}  // namespace

Gateway::Gateway(GatewaySettings settings,
                 std::function<Result<GatewaySettings>()> reload)
    : m_node(std::move(settings)),
      m_operator(m_node.m_kv,
                 std::string(platform::kOperatorPrefix),
                 OperatorHandlers()),
      m_upstreams(m_node.m_kv,
                  std::string(platform::kUpstreamPrefix),
                  UpstreamHandlers()),
      m_vms(m_node.m_kv, std::string(kVmPrefix), VmHandlers()),
      m_peer_calls(m_node.m_cluster),
      m_news(m_node),
      m_jobs(JobParts{m_node.m_kv, m_node.m_cluster, m_node.m_upstreams,
                      [this] { return m_node.m_config; },
                      [this](std::string_view service) {
                        const auto found = m_node.m_queues.find(service);
                        return found == m_node.m_queues.end()
                                   ? 0
                                   : found->second.GetState().m_waiting;
                      },
                      [this] { m_news.SendSoon(); },
                      m_node.m_settings.m_result_retention}),
      m_reload(std::move(reload)) {
  m_node.m_news = &m_news;
  m_node.m_jobs = &m_jobs;
  m_node.m_peer_calls = &m_peer_calls;
  m_node.m_quotas.SetOwnerClient(&m_peer_calls);
  m_node.m_operator = &m_operator;
  m_node.m_upstream_list = &m_upstreams;
  m_node.m_vm_list = &m_vms;
  for (PrefixFollower* follower : {&m_operator, &m_upstreams, &m_vms}) {
    follower->SetSource(&m_peer_calls);
  }
  m_node.m_kv.SetRelay(&m_peer_calls);
}

Gateway::~Gateway() = default;

Status Gateway::AddListener(const NetAddress& address,
                            TcpListener::Acceptor acceptor) {
  Result<std::unique_ptr<TcpListener>> listener =
      TcpListener::Open(address, std::move(acceptor));
  if (!listener) {
    return tl::unexpected<Error>(listener.error());
  }
  m_listeners.push_back(*std::move(listener));
  return {};
}

Status Gateway::Listen() {
  const GatewaySettings& settings = m_node.m_settings;
  const TcpListener::Acceptor peers =
      [this](std::unique_ptr<TcpStream> stream) {
        Spawn(ServePeer(m_node, std::move(stream)));
      };
  const Answerer readiness = [this] {
    CallerReply reply;
    reply.m_status = m_node.IsReady() ? 200 : 503;
    return reply;
  };
  const Answerer metrics = [] {
    CallerReply reply;
    reply.m_content_type = "text/plain; version=0.0.4";
    reply.m_body = SerializeMetrics();
    return reply;
  };
  Status opened = m_news.Open();
  if (opened) {
    opened = AddListener(settings.m_peers, peers);
  }
  if (opened) {
    opened = AddListener(settings.m_bootstrap, peers);
  }
  if (opened) {
    opened = AddListener(settings.m_readiness,
                         [readiness](std::unique_ptr<TcpStream> stream) {
                           Spawn(ServeChecks(std::move(stream), readiness));
                         });
  }
  if (opened) {
    opened = AddListener(settings.m_metrics,
                         [metrics](std::unique_ptr<TcpStream> stream) {
                           Spawn(ServeChecks(std::move(stream), metrics));
                         });
  }
  if (!opened) {
    return opened;
  }
  Result<std::unique_ptr<TcpListener>> callers = TcpListener::Open(
      settings.m_callers, [this](std::unique_ptr<TcpStream> stream) {
        Spawn(ServeCaller(m_node, std::move(stream)));
      });
  if (!callers) {
    return tl::unexpected<Error>(callers.error());
  }
  m_caller_listener = *std::move(callers);
  return {};
}

void Gateway::OnOperatorItem(const KvItem& item) {
  const std::string_view vm = platform::VmToEmpty(item.m_key);
  if (!vm.empty() && m_emptied.insert(std::string(vm)).second) {
    Spawn(ReportEmptied(std::string(vm)));
    return;
  }
  if (item.m_key != platform::kConfigKey) {
    return;
  }
  Result<FleetConfigPtr> config = platform::DecodeConfig(item.m_value);
  if (!config) {
    LogError(Severity::kError, LogPart::kConfig,
             "A configuration can't be read; the present one stays.",
             config.error());
    return;
  }
  m_node.InstallConfig(*std::move(config), item.m_revision);
}

PrefixHandlers Gateway::OperatorHandlers() {
  PrefixHandlers handlers;
  handlers.m_on_snapshot = [this](std::span<const KvItem> items) {
    for (const KvItem& item : items) {
      OnOperatorItem(item);
    }
  };
  handlers.m_on_event = [this](const KvEvent& event) {
    if (event.m_removed) {
      m_emptied.erase(std::string(platform::VmToEmpty(event.m_item.m_key)));
    } else {
      OnOperatorItem(event.m_item);
    }
  };
  return handlers;
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

Task<> Gateway::ReportEmptied(std::string vm) {
  // Nothing of the system lies on disks, so a disk is empty at once.
  const std::string key = platform::EmptiedKey(vm);
  while (m_emptied.contains(vm)) {
    if (m_node.m_cluster.FirstVmFor(key, MonotonicNow()) ==
        m_node.m_cluster.Self().m_id) {
      KvTransaction transaction;
      transaction.m_puts.push_back({key, platform::EmptiedValue(), 0});
      const Result<KvOutcome> outcome =
          co_await m_node.m_kv.Transact(std::move(transaction));
      if (outcome) {
        Log(Severity::kInfo, LogPart::kMain, "Reported a disk as emptied.",
            {{"vm", vm}});
        co_return;
      }
    }
    // The others look whether it is their turn: the first one may be lost.
    co_await Sleep(kSeedEvery);
  }
}

namespace {

// How long changes of the lists of upstreams and VMs are gathered. Each change
// ends the watch of each VM, and the new watches are priced.
Millis GatherTime(int vms) {
  return std::clamp(kGatherPerVm * vms, kShortestGatherTime,
                    kLongestGatherTime);
}

}  // namespace

void Gateway::OnFleetChange() {
  m_node.m_cluster.RefreshCell(MonotonicNow());
  const int vms = m_node.m_cluster.OwnCell().m_fleet_size;
  m_upstreams.SetGatherTime(GatherTime(vms));
  m_vms.SetGatherTime(GatherTime(vms));
  m_node.m_registration.SetFleetSize(vms);
}

Task<> Gateway::RunUpkeep() {
  Millis counted_since;  // zero: not yet
  for (;;) {
    const Millis now = MonotonicNow();
    m_node.m_upstreams.DropPostponed(now);
    m_node.m_cluster.Expire(now);
    m_node.m_breaks.Expire(now);
    if (m_node.m_cluster.IsLoaded()) {
      OnFleetChange();
    }
    m_node.m_upstreams.RefreshNear(m_node.m_cluster.OwnCell(),
                                   m_node.m_settings.m_zone);
    const int members = m_node.m_cluster.CountMembers(now);
    const int heard = m_node.m_cluster.CountHeard(now);
    const bool is_lease_held = m_node.m_registration.IsLeaseHeld();
    // The others count a VM that is registered, or whose news reach them.
    const bool is_counted =
        is_lease_held || (members > 1 && 2 * heard > members);
    counted_since =
        is_counted && counted_since == Millis() ? now : counted_since;
    const bool has_settled =
        counted_since != Millis() && (now - counted_since >= kShareDelay ||
                                      m_node.m_cluster.ReplacesEarlierSelf());
    m_node.m_quotas.SetShareActive(
        has_settled && IsShareActive(is_lease_held, heard, members), now);
    m_node.DispatchAll();
    co_await Sleep(kUpkeepEvery);
  }
}

Task<> Gateway::AskSeed(NetAddress seed) {
  WholeRequest request;
  request.m_head.m_method = "GET";
  request.m_head.m_target = std::string(kPeerVmsPath);
  const Result<WholeResponse> response = co_await m_peer_calls.CallAddress(
      seed, std::move(request), MonotonicNow() + kSeedEvery);
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
      m_node.m_cluster.AddHint(*record);
    }
  }
}

Task<> Gateway::AskSeeds() {
  // The store tells of the VMs as soon as it can be read.
  while (m_node.m_cluster.Peers().empty()) {
    for (const NetAddress& seed : m_node.m_settings.m_seeds) {
      if (seed != m_node.m_settings.m_bootstrap) {
        co_await AskSeed(seed);
      }
    }
    co_await Sleep(kSeedEvery);
  }
}

void Gateway::StartTasks() {
  Spawn(m_operator.Run());
  Spawn(m_upstreams.Run());
  Spawn(m_vms.Run());
  Spawn(m_node.m_registration.Run());
  Spawn(m_news.Run());
  Spawn(m_jobs.Scheduler().Run());
  Spawn(m_jobs.Takeover().Run());
  Spawn(RunUpkeep());
  Spawn(AskSeeds());
}

void Gateway::Reload() {
  const Result<GatewaySettings> settings = m_reload();
  if (!settings) {
    LogError(Severity::kError, LogPart::kMain,
             "The settings can't be read; the present ones stay.",
             settings.error());
    return;
  }
  m_node.m_settings.m_seeds = settings->m_seeds;
  m_node.m_settings.m_drain_limit = settings->m_drain_limit;
  InitBufferedLog(settings->m_log_level, settings->m_log_format);
  Log(Severity::kInfo, LogPart::kMain, "Read the settings again.",
      {{"seeds", settings->m_seeds.size()}});
}

Task<> Gateway::Drain() {
  const Millis started = MonotonicNow();
  Log(Severity::kInfo, LogPart::kMain, "Draining.",
      {{"callers", m_node.m_callers}, {"requests", m_node.m_requests}});
  m_node.m_draining_since = started;
  m_node.m_drain_started.NotifyAll();
  m_jobs.Drain();
  for (PrefixFollower* follower : {&m_operator, &m_upstreams, &m_vms}) {
    follower->StopSharing();
  }
  const Millis limit = started + m_node.m_settings.m_drain_limit - kExitMargin;
  co_await WaitAny(std::min(limit, started + kDrainNotice));
  // New callers are turned away from here on, so that none is cut at the end.
  m_caller_listener->AcceptPending();
  m_caller_listener.reset();
  co_await Sleep(kLastArrivals);
  bool released = false;
  while (MonotonicNow() < limit && (m_node.m_requests > 0 || !released)) {
    if (m_node.m_requests == 0) {
      released = true;
      co_await m_jobs.Scheduler().ReleaseAll(MonotonicNow() + kReleaseTime);
    } else {
      co_await Sleep(kDrainStep);
    }
  }
  if (!released) {
    co_await m_jobs.Scheduler().ReleaseAll(MonotonicNow() + kReleaseTime);
  }
  Log(Severity::kInfo, LogPart::kMain, "Stopping.",
      {{"callers", m_node.m_callers},
       {"requests", m_node.m_requests},
       {"ms", MonotonicNow() - started}});
  co_await m_node.m_registration.End();
  m_loop.Stop();
}

Task<> Gateway::WatchSignals() {
  const sigset_t set = BlockSignals();
  SignalSource signals(set);
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
