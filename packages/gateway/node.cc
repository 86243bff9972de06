#include "gateway/node.h"

#include "aio/wait.h"
#include "base/log.h"
#include "base/random.h"
#include "base/text.h"
#include "dispatch/pick_upstream.h"
#include "gateway/gossip_exchange.h"
#include "jobs/job_service.h"
#include "kv/prefix_follower.h"

namespace bronzecross {
namespace {

// How long after the start requests wait for the first configuration. A VM
// reads it within tens of milliseconds unless it can't reach the store.
constexpr Millis kFirstConfigTimeout{400};

VmRecord MakeVmRecord(const GatewaySettings& settings) {
  VmRecord record;
  record.m_id = settings.m_vm_id;
  // The wall clock time in milliseconds orders the incarnations of one VM. It
  // is unique because a restart takes longer than a millisecond.
  record.m_incarnation = static_cast<uint64_t>(WallNow().count());
  record.m_zone = settings.m_zone;
  record.m_address = settings.m_peers;
  return record;
}

BudgetLimits MakeLimits(const GatewaySettings& settings,
                        const MachineLimits& machine,
                        const CallerLimits& limits) {
  return MakeBudgetLimits(MakeBudgetBytes(settings, machine),
                          limits.m_body_bytes, limits.m_header_bytes);
}

}  // namespace

Node::Node(GatewaySettings settings)
    : m_settings(std::move(settings)),
      m_live_settings(m_settings),
      m_connection_bounds(MakeConnectionBounds(m_settings, m_machine)),
      m_budget(MakeLimits(m_settings, m_machine, CallerLimits())),
      m_caller_table(m_connection_bounds.m_callers,
                     ConnectionCloser("callers")),
      m_peer_table(m_connection_bounds.m_peers, ConnectionCloser("peers")),
      m_readiness_table(m_connection_bounds.m_probes,
                        ConnectionCloser("readiness")),
      m_metrics_table(m_connection_bounds.m_probes,
                      ConnectionCloser("metrics")),
      m_kv(m_settings.m_store, m_settings.m_store_history),
      m_cluster(MakeVmRecord(m_settings)),
      m_registration(m_kv, m_cluster.Self()),
      m_upstreams(m_kv, m_settings.m_placement),
      m_quotas(m_cluster, [this] { m_gossip->SendSoon(); }) {}

Node::~Node() = default;

std::function<void()> Node::ConnectionCloser(std::string_view listener) {
  return [this, reason = Concat("connections_", listener)] {
    m_refusals.Count(reason, MonotonicNow());
  };
}

const CallerLimits& Node::Limits() const {
  static const CallerLimits kDefaults;
  return m_config == nullptr ? kDefaults : m_config->m_limits;
}

void Node::CountRefusal(ReadFault fault) {
  if (fault != ReadFault::kNone) {
    m_refusals.Count(ReadFaultName(fault), MonotonicNow());
  }
}

SlotQueue& Node::QueueOf(std::string_view service) {
  const auto found = m_queues.find(service);
  if (found != m_queues.end()) {
    return found->second;
  }
  const std::string name(service);
  return m_queues
      .try_emplace(name, name, m_settings.m_zone, m_upstreams, m_cluster,
                   PromptAffinity{
                       &m_prompt_cache,
                       static_cast<double>(m_settings.m_prefill_tokens_per_ms)},
                   [this](Upstream& upstream) { OnPlaced(upstream); })
      .first->second;
}

void Node::OnPlaced(Upstream& upstream) {
  const int total = upstream.Online() + upstream.Batch();
  if (total > upstream.m_entry.m_slots) {
    m_jobs->Scheduler().PreemptItemAt(upstream);
  }
  if (ShouldAnnounceLoad(total, upstream.m_entry.m_slots) ||
      ShouldAnnounceTokens(MemoryOf(upstream, MonotonicNow()))) {
    m_gossip->SendSoon();
  }
}

void Node::InstallConfig(FleetConfigPtr config, int64_t revision) {
  if (m_config != nullptr && config->m_version <= m_config->m_version) {
    return;
  }
  Log(Severity::kInfo, LogPart::kConfig, "A configuration is in force.",
      {{"version", config->m_version},
       {"revision", revision},
       {"routes", config->m_routes.size()},
       {"workspaces", config->m_workspaces.size()}});
  m_config = std::move(config);
  m_config_since = MonotonicNow();
  m_upstreams.OnConfig(*m_config);
  m_upstreams.SetEngineMemory(*m_config);
  m_budget.SetLimits(MakeLimits(m_settings, m_machine, m_config->m_limits));
  m_configured.NotifyAll();
}

void Node::DispatchAll() {
  for (auto entry = m_queues.begin(); entry != m_queues.end(); ++entry) {
    entry->second.Dispatch();
  }
}

PrefixFollower* Node::FindFollower(std::string_view prefix) {
  for (PrefixFollower* follower :
       {m_operator_follower, m_upstream_follower, m_vm_follower}) {
    if (follower->Prefix() == prefix) {
      return follower;
    }
  }
  return nullptr;
}

Task<> Node::WaitUntilConfigured() {
  const Millis until = m_started + kFirstConfigTimeout;
  // Without the list of VMs, this VM would act as if it were the only one, and
  // without gossip it would run what the others block.
  while ((m_config == nullptr || !m_cluster.IsLoaded() ||
          !m_cluster.HasHeardFromPeers()) &&
         MonotonicNow() < until) {
    WaitAny wait(until);
    wait.Add(m_configured);
    co_await wait;
  }
}

void Node::EndRequests() {
  m_is_stopping = true;
  for (Condition* const condition : m_served_callers) {
    condition->NotifyAll();
  }
}

bool Node::IsReady() const {
  return m_config != nullptr && m_upstreams.IsLoaded() &&
         m_draining_since == Millis();
}

}  // namespace bronzecross
