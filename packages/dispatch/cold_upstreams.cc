#include "dispatch/cold_upstreams.h"

#include <algorithm>
#include <vector>

#include "base/log.h"
#include "base/metrics.h"

namespace bronzecross {
namespace {

// Views of the fleet differ by at most about this time: watches, gathered
// changes and the interval between updates.
constexpr Millis kSenderChangeDelay{1'700};

}  // namespace

void ColdUpstreams::Watch(const UpstreamPtr& upstream) {
  if (upstream->IsColdAt(MonotonicNow()) && m_cold.insert(upstream).second) {
    m_new.insert(upstream);
    SetColdRate(upstream->m_cold_pacer, 0, MonotonicNow());
    Log(Severity::kInfo, LogPart::kUpstreams, "An upstream is cold.",
        {{"upstream", upstream->m_entry.m_id},
         {"zone", upstream->m_entry.m_zone},
         {"ms", upstream->m_cold.m_until - MonotonicNow()}});
  }
}

void ColdUpstreams::Update(const ClusterView& cluster,
                           bool may_send,
                           Millis now) {
  if (m_cold.empty()) {
    return;
  }
  absl::erase_if(m_cold, [this, now](const UpstreamPtr& upstream) {
    if (upstream->IsColdAt(now) && !upstream->m_deregistered) {
      return false;
    }
    m_new.erase(upstream);
    m_planned.erase(upstream);
    SetColdRate(upstream->m_cold_pacer, 0, now);
    Log(Severity::kInfo, LogPart::kUpstreams, "An upstream is no longer cold.",
        {{"upstream", upstream->m_entry.m_id}});
    return true;
  });
  SetGauge("bronzecross_upstreams_cold", {},
           static_cast<double>(m_cold.size()));
  const bool has_fleet_changed =
      m_fleet_version != cluster.RegistrationVersion() ||
      m_may_send != may_send;
  if (has_fleet_changed) {
    m_new = m_cold;
    m_fleet_version = cluster.RegistrationVersion();
    m_may_send = may_send;
  }
  if (!m_new.empty()) {
    SetRates(cluster, may_send, now);
    m_new.clear();
  }
}

void ColdUpstreams::SetRates(const ClusterView& cluster,
                             bool may_send,
                             Millis now) {
  std::vector<SenderCandidate> vms;
  for (const VmGroupMember& vm : cluster.RegisteredVms()) {
    vms.push_back({vm.m_id, vm.m_zone});
  }
  const std::string& self = cluster.Self().m_id;
  for (const UpstreamPtr& upstream : m_new) {
    // A VM that becomes a sender of an upstream that is cold already replaces
    // another one, whose view of the fleet may be older.
    const Millis first_delay =
        m_planned.insert(upstream).second ? Millis() : kSenderChangeDelay;
    const ColdSendPlan plan =
        PlanColdSends(ColdBound(upstream->m_cold_limits, m_settings),
                      static_cast<int>(vms.size()));
    const std::vector<std::string_view> senders = ColdSenders(
        upstream->m_entry.m_id, upstream->m_entry.m_zone, vms, plan.m_senders);
    const bool is_sender = may_send && std::find(senders.begin(), senders.end(),
                                                 self) != senders.end();
    SetColdRate(upstream->m_cold_pacer, is_sender ? plan.m_per_s : 0, now,
                first_delay);
  }
}

}  // namespace bronzecross
