#include "dispatch/upstream_table.h"

#include <set>

#include "base/log.h"
#include "base/metrics.h"
#include "dispatch/upstream_subset.h"
#include "platform/upstream_entry.h"

namespace bronzecross {
namespace {

// How long an incarnation that was leaving is remembered after its registration
// has ended. It stops within seconds, or at times within a minute.
constexpr Millis kLeftRetention{600'000};

// Returns whether this VM has requests in flight at `upstream`.
bool IsInUse(const Upstream& upstream) {
  return upstream.m_online > 0 || upstream.m_batch > 0;
}

}  // namespace

const std::vector<UpstreamPtr>& UpstreamTable::OfService(
    std::string_view service) const {
  static const std::vector<UpstreamPtr> kNone;
  const auto found = m_by_service.find(service);
  return found == m_by_service.end() ? kNone : found->second;
}

const std::vector<UpstreamPtr>& UpstreamTable::SubsetOf(
    std::string_view service) const {
  const auto found = m_subsets.find(service);
  return found == m_subsets.end() ? OfService(service) : found->second;
}

const absl::flat_hash_set<UpstreamPtr>& UpstreamTable::InUse(Millis now) {
  absl::erase_if(m_in_use, [now](const UpstreamPtr& upstream) {
    const std::optional<MachineReport> machine =
        FreshMachineReport(upstream->m_report, now);
    return !IsInUse(*upstream) &&
           (!machine || machine->m_percent == kUsualMachinePercent);
  });
  return m_in_use;
}

void UpstreamTable::Index() {
  m_by_service.clear();
  m_by_hash.clear();
  for (auto entry = m_by_id.begin(); entry != m_by_id.end(); ++entry) {
    m_by_service[entry->second->m_entry.m_service].push_back(entry->second);
    m_by_hash.emplace(entry->second->m_hash, entry->second);
  }
  m_subset_outdated = true;
  RefreshSubset(m_subset_group, m_zone);
  m_changed.NotifyAll();
}

void UpstreamTable::Put(const KvItem& item) {
  Result<UpstreamEntry> entry = platform::DecodeUpstreamEntry(item);
  const std::string id(platform::UpstreamIdOfKey(item.m_key));
  if (!entry) {
    Log(Severity::kWarning, LogPart::kUpstreams,
        "An upstream entry is invalid.",
        {{"upstream", id}, {"reason", entry.error().m_message}});
    Remove(id, false);
    return;
  }
  m_postponed.erase(id);
  UpstreamPtr& upstream = m_by_id[id];
  const bool is_same = upstream != nullptr &&
                       upstream->m_entry.m_started == entry->m_started &&
                       upstream->m_entry.m_address == entry->m_address &&
                       upstream->m_entry.m_service == entry->m_service;
  if (is_same && upstream->m_entry.m_draining == entry->m_draining &&
      upstream->m_entry.m_slots == entry->m_slots &&
      upstream->m_entry.m_zone == entry->m_zone) {
    upstream->m_entry.m_cold_left = entry->m_cold_left;
    Apply(upstream);
    return;
  }
  Log(Severity::kInfo, LogPart::kUpstreams, "An upstream changed.",
      {{"upstream", id},
       {"service", entry->m_service},
       {"address", entry->m_address.ToString()},
       {"draining", entry->m_draining ? "yes" : "no"},
       {"revision", item.m_revision}});
  if (is_same) {
    upstream->m_entry = *std::move(entry);
    Apply(upstream);
    return;
  }
  if (upstream != nullptr) {
    Deregister(upstream);
  }
  upstream = MakeUpstream(*std::move(entry));
  upstream->m_memory_tokens = MemoryOfService(upstream->m_entry.m_service);
  ApplyLimits(*upstream);
  ApplyZoneReturn(*upstream);
  Apply(upstream);
}

void UpstreamTable::Apply(const UpstreamPtr& upstream) {
  ApplyZone(*upstream);
  RecordColdEntry(upstream->m_cold, upstream->m_entry.m_cold_left,
                  MonotonicNow());
  m_cold_upstreams.Watch(upstream);
}

void UpstreamTable::ApplyLimits(Upstream& upstream) const {
  const auto limits = m_cold_limits.find(upstream.m_entry.m_service);
  upstream.m_cold_limits =
      limits == m_cold_limits.end() ? ColdLimits() : limits->second;
}

void UpstreamTable::OnConfig(const FleetConfig& config) {
  std::map<std::string, ColdLimits, std::less<>> limits;
  for (const Service& service : config.m_services) {
    if (service.m_cold_per_s > 0 && service.m_cold_time > Millis()) {
      limits[service.m_name] = {service.m_cold_time, service.m_cold_per_s};
    }
  }
  if (limits == m_cold_limits) {
    return;
  }
  m_cold_limits = std::move(limits);
  for (auto entry = m_by_id.begin(); entry != m_by_id.end(); ++entry) {
    ApplyLimits(*entry->second);
    m_cold_upstreams.Watch(entry->second);
  }
  m_cold_upstreams.OnLimitsChange();
}

void UpstreamTable::UpdateCold(const ClusterView& cluster,
                               bool may_send,
                               Millis now) {
  if (m_cold_limits.empty()) {
    m_cold_upstreams.Update(cluster, may_send, now);
    return;
  }
  // A response may have said that its upstream is cold.
  for (const UpstreamPtr& upstream : InUse(now)) {
    m_cold_upstreams.Watch(upstream);
  }
  m_cold_upstreams.Update(cluster, may_send, now);
}

void UpstreamTable::ApplyZone(Upstream& upstream) const {
  upstream.m_evacuated = m_evacuated_zones.Contains(upstream.m_entry.m_zone);
  upstream.m_region = RegionOfZone(upstream.m_entry.m_zone, m_placement);
}

void UpstreamTable::ApplyZones() {
  for (auto entry = m_by_id.begin(); entry != m_by_id.end(); ++entry) {
    ApplyZone(*entry->second);
  }
  SetGauge("bronzecross_zones_evacuated", {},
           static_cast<double>(m_evacuated_zones.Count()));
  m_changed.NotifyAll();
}

void UpstreamTable::BeginEvacuation(std::string_view zone) {
  if (m_evacuated_zones.Begin(zone, MonotonicNow())) {
    Log(Severity::kWarning, LogPart::kUpstreams,
        "The evacuation of a zone begins.", {{"zone", zone}});
    ApplyZones();
  }
}

void UpstreamTable::EndEvacuation(std::string_view zone) {
  const Millis since = m_evacuated_zones.Since(zone);
  if (m_evacuated_zones.End(zone)) {
    Log(Severity::kWarning, LogPart::kUpstreams,
        "The evacuation of a zone has ended.",
        {{"zone", zone}, {"ms", MonotonicNow() - since}});
    ApplyZones();
  }
  // Also if this VM missed the beginning: the zone has been without requests.
  m_zone_returns[std::string(zone)] = MonotonicNow();
  for (auto entry = m_by_id.begin(); entry != m_by_id.end(); ++entry) {
    if (entry->second->m_entry.m_zone == zone) {
      ApplyZoneReturn(*entry->second);
      m_cold_upstreams.Watch(entry->second);
    }
  }
}

void UpstreamTable::ApplyZoneReturn(Upstream& upstream) const {
  const auto returned = m_zone_returns.find(upstream.m_entry.m_zone);
  if (returned != m_zone_returns.end()) {
    RecordZoneReturn(upstream.m_cold, upstream.m_cold_limits, returned->second);
  }
}

void UpstreamTable::EndUnlistedEvacuations(
    std::span<const std::string_view> listed) {
  for (const std::string& zone : m_evacuated_zones.FindUnlisted(listed)) {
    EndEvacuation(zone);
  }
}

UpstreamPtr UpstreamTable::MakeUpstream(UpstreamEntry entry) {
  const auto left = m_left.find(entry.m_id);
  const UpstreamPtr earlier =
      left == m_left.end() ? nullptr : left->second.m_upstream;
  if (earlier == nullptr || earlier->m_entry.m_started != entry.m_started) {
    return std::make_shared<Upstream>(std::move(entry));
  }
  if (IsInUse(*earlier) && earlier->m_entry.m_address == entry.m_address &&
      earlier->m_entry.m_service == entry.m_service) {
    m_left.erase(left);
    earlier->m_entry = std::move(entry);
    earlier->m_deregistered = false;
    return earlier;
  }
  UpstreamPtr upstream = std::make_shared<Upstream>(std::move(entry));
  upstream->m_leaving = earlier->m_leaving;
  return upstream;
}

void UpstreamTable::Deregister(const UpstreamPtr& upstream) {
  upstream->m_deregistered = true;
  upstream->m_pool.Clear();
  if (!upstream->m_leaving && !IsInUse(*upstream)) {
    return;
  }
  const Millis now = MonotonicNow();
  absl::erase_if(m_left, [now](const auto& entry) {
    const LeftUpstream& left = entry.second;
    return left.m_forget_at < now ||
           (!left.m_upstream->m_leaving && !IsInUse(*left.m_upstream));
  });
  m_left[upstream->m_entry.m_id] = {upstream, now + kLeftRetention};
}

void UpstreamTable::Drop(const std::string& id) {
  const auto found = m_by_id.find(id);
  if (found == m_by_id.end()) {
    return;
  }
  Deregister(found->second);
  found->second->m_pool.Clear();
  m_by_id.erase(found);
  Log(Severity::kInfo, LogPart::kUpstreams, "An upstream is gone.",
      {{"upstream", id}});
}

void UpstreamTable::Remove(std::string_view id, bool may_reregister) {
  const std::string name(id);
  if (m_by_id.find(name) == m_by_id.end()) {
    return;
  }
  const Millis now = MonotonicNow();
  const Millis due = may_reregister ? m_kv.RemovalTimeOf(now) : now;
  if (due > now) {
    m_postponed.emplace(name, due);
    Log(Severity::kInfo, LogPart::kUpstreams,
        "The end of an upstream is postponed, as it may register again.",
        {{"upstream", id}, {"ms", due - now}});
    return;
  }
  m_postponed.erase(name);
  Drop(name);
}

void UpstreamTable::OnSnapshot(std::span<const KvItem> items) {
  std::set<std::string, std::less<>> listed;
  for (const KvItem& item : items) {
    listed.emplace(platform::UpstreamIdOfKey(item.m_key));
    Put(item);
  }
  std::vector<std::string> missing;
  for (auto entry = m_by_id.begin(); entry != m_by_id.end(); ++entry) {
    if (!listed.contains(entry->first)) {
      missing.push_back(entry->first);
    }
  }
  for (const std::string& id : missing) {
    Remove(id, true);
  }
  m_loaded = true;
  Index();
}

void UpstreamTable::OnEvent(const KvEvent& event) {
  if (event.m_removed) {
    Remove(platform::UpstreamIdOfKey(event.m_item.m_key), true);
  } else {
    Put(event.m_item);
  }
  Index();
}

void UpstreamTable::DropPostponed(Millis now) {
  std::vector<std::string> due;
  for (auto entry = m_postponed.begin(); entry != m_postponed.end(); ++entry) {
    if (entry->second <= now) {
      due.push_back(entry->first);
    }
  }
  for (const std::string& id : due) {
    m_postponed.erase(id);
    Drop(id);
  }
  if (!due.empty()) {
    Index();
  }
}

void UpstreamTable::RefreshSubset(const VmGroup& group, std::string_view zone) {
  const bool is_same_group =
      group.m_is_whole_fleet == m_subset_group.m_is_whole_fleet &&
      group.m_index == m_subset_group.m_index &&
      group.m_count == m_subset_group.m_count && zone == m_zone;
  if (is_same_group && !m_subset_outdated) {
    return;
  }
  m_subset_outdated = false;
  if (&group != &m_subset_group) {
    m_subset_group = group;
    m_zone = std::string(zone);
  }
  m_subsets.clear();
  for (auto entry = m_by_service.begin(); entry != m_by_service.end();
       ++entry) {
    std::vector<UpstreamLocation> locations;
    for (const UpstreamPtr& upstream : entry->second) {
      locations.push_back({upstream->m_hash, upstream->m_entry.m_zone});
    }
    const std::vector<bool> in_subset =
        FindUpstreamSubset(locations, group, zone);
    std::vector<UpstreamPtr>& subset = m_subsets[entry->first];
    for (size_t i = 0; i < in_subset.size(); ++i) {
      entry->second[i]->m_in_subset = in_subset[i];
      entry->second[i]->m_has_unknown_vms = !group.m_is_whole_fleet;
      if (in_subset[i]) {
        subset.push_back(entry->second[i]);
      }
    }
  }
}

void UpstreamTable::UpdatePeerLoad(const ClusterView& cluster, Millis now) {
  for (const UpstreamPtr& upstream : m_with_peer_load) {
    upstream->m_peer_online = 0;
    upstream->m_peer_batch = 0;
    upstream->m_peer_urgent = 0;
    upstream->m_peer_tokens = 0;
  }
  m_with_peer_load.clear();
  cluster.ForEachGroupPeer([&](std::string_view, const PeerVm& peer) {
    if (!IsRecentlySeen(peer, now, kMaxGossipAge)) {
      return;
    }
    for (const UpstreamUse& use : peer.m_gossip.m_uses) {
      const auto found = m_by_hash.find(use.m_upstream);
      if (found == m_by_hash.end()) {
        continue;
      }
      Upstream& upstream = *found->second;
      if (upstream.m_peer_online + upstream.m_peer_batch == 0) {
        m_with_peer_load.push_back(found->second);
      }
      upstream.m_peer_online += use.m_online;
      upstream.m_peer_batch += use.m_batch;
      upstream.m_peer_urgent += use.m_urgent;
      upstream.m_peer_tokens += use.m_tokens;
    }
  });
  m_changed.NotifyAll();
}

int64_t UpstreamTable::MemoryOfService(std::string_view service) const {
  const auto found = m_memory_by_service.find(service);
  return found == m_memory_by_service.end() ? 0 : found->second;
}

void UpstreamTable::SetEngineMemory(const FleetConfig& config) {
  m_memory_by_service.clear();
  for (const Service& service : config.m_services) {
    if (service.m_memory_tokens > 0) {
      m_memory_by_service[service.m_name] = service.m_memory_tokens;
    }
  }
  for (auto entry = m_by_id.begin(); entry != m_by_id.end(); ++entry) {
    entry->second->m_memory_tokens =
        MemoryOfService(entry->second->m_entry.m_service);
  }
}

void UpstreamTable::UpdatePeerPace(const GossipMessage& gossip, Millis now) {
  for (const UpstreamUse& use : gossip.m_uses) {
    const auto found = m_by_hash.find(use.m_upstream);
    if (found == m_by_hash.end()) {
      continue;
    }
    if (use.m_work_ms > 0) {
      RecordPeerWorkTime(found->second->m_pace, use.m_work_ms, now);
    }
    if (use.m_machine_percent > 0) {
      RecordPeerMachine(found->second->m_report,
                        {use.m_machine_percent, now - use.m_machine_age});
    }
  }
}

}  // namespace bronzecross
