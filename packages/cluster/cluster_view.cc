#include "cluster/cluster_view.h"

#include <algorithm>

#include "base/hash.h"
#include "base/log.h"
#include "base/text.h"

namespace bronzecross {
namespace {

// How long an unregistered VM still receives gossip after it was last seen. It
// may have lost only its connection to the key-value service.
constexpr Millis kForgetAfter{10'000};

// A VM counts as unresponsive if no gossip has arrived from it for this time
// while most other VMs are recently seen. VMs send four messages to other
// groups in this time. Its registration may last for much longer.
constexpr Millis kUnresponsiveAfter{3'200};

bool IsPresent(const PeerVm& peer, Millis now) {
  return peer.m_listed || IsRecentlySeen(peer, now, kRecentlySeenWindow);
}

}  // namespace

PeerVm* ClusterView::FindPeer(std::string_view id) {
  const auto found = m_peers.find(id);
  return found == m_peers.end() ? nullptr : &found->second;
}

bool ClusterView::HasHeardFromPeers() const {
  return m_peers.empty() ||
         std::any_of(m_peers.begin(), m_peers.end(), [](const auto& entry) {
           return entry.second.m_last_seen != Millis();
         });
}

void ClusterView::ForEachGroupPeer(
    absl::FunctionRef<void(std::string_view, const PeerVm&)> visit) const {
  if (m_group.m_is_whole_fleet) {
    for (auto entry = m_peers.begin(); entry != m_peers.end(); ++entry) {
      visit(entry->first, entry->second);
    }
    return;
  }
  for (const std::string& id : m_group.m_peers) {
    const auto found = m_peers.find(id);
    if (found != m_peers.end()) {
      visit(id, found->second);
    }
  }
}

void ClusterView::Put(const VmRecord& record) {
  if (record.m_id == m_self.m_id) {
    const bool was_listed = m_self_listed;
    m_self_listed = record.m_incarnation == m_self.m_incarnation;
    m_registration_version += was_listed == m_self_listed ? 0 : 1;
    m_replaces_earlier_incarnation =
        m_replaces_earlier_incarnation || !m_self_listed;
    return;
  }
  PeerVm& peer = m_peers[record.m_id];
  m_registration_version +=
      peer.m_listed && peer.m_record.m_zone == record.m_zone ? 0 : 1;
  if (!peer.m_listed || peer.m_record.m_incarnation != record.m_incarnation) {
    Log(Severity::kInfo, LogPart::kMembership, "A VM is registered.",
        {{"vm", record.m_id},
         {"incarnation", record.m_incarnation},
         {"address", record.m_address.ToString()}});
  }
  if (peer.m_record.m_incarnation != record.m_incarnation) {
    peer.m_last_seen = Millis();
    peer.m_gossip = GossipMessage();
  }
  peer.m_record = record;
  peer.m_listed = true;
}

void ClusterView::OnSnapshot(std::span<const KvItem> items) {
  ++m_registration_version;
  m_loaded = true;
  m_self_listed = false;
  for (auto entry = m_peers.begin(); entry != m_peers.end(); ++entry) {
    entry->second.m_listed = false;
  }
  for (const KvItem& item : items) {
    OnEvent(KvEvent{item, false});
  }
}

void ClusterView::OnEvent(const KvEvent& event) {
  if (event.m_removed) {
    ++m_registration_version;
    const std::string_view id = StripPrefix(event.m_item.m_key, kVmPrefix);
    if (id == m_self.m_id) {
      m_self_listed = false;
    }
    PeerVm* peer = FindPeer(id);
    if (peer != nullptr && peer->m_listed) {
      peer->m_listed = false;
      Log(Severity::kInfo, LogPart::kMembership,
          "A VM's registration has ended.", {{"vm", id}});
    }
    return;
  }
  const std::optional<VmRecord> record = DecodeVmRecord(event.m_item.m_value);
  if (!record) {
    Log(Severity::kWarning, LogPart::kMembership,
        "A VM's registration is malformed.", {{"key", event.m_item.m_key}});
    return;
  }
  Put(*record);
}

void ClusterView::AddReportedVm(const VmRecord& record) {
  if (record.m_id != m_self.m_id && FindPeer(record.m_id) == nullptr) {
    PeerVm& peer = m_peers[record.m_id];
    peer.m_record = record;
    peer.m_reported_time = MonotonicNow();
  }
}

void ClusterView::Expire(Millis now) {
  for (auto entry = m_peers.begin(); entry != m_peers.end();) {
    const PeerVm& peer = entry->second;
    const Millis known = std::max(peer.m_last_seen, peer.m_reported_time);
    if (!peer.m_listed && now - known > kForgetAfter) {
      entry = m_peers.erase(entry);
    } else {
      ++entry;
    }
  }
}

PeerVm* ClusterView::OnGossip(GossipMessage gossip, Millis now) {
  if (gossip.m_sender.m_id == m_self.m_id) {
    return nullptr;
  }
  PeerVm& peer = m_peers[gossip.m_sender.m_id];
  const uint64_t known = peer.m_record.m_incarnation;
  const uint64_t sent = gossip.m_sender.m_incarnation;
  if (sent < known ||
      (sent == known && gossip.m_sequence <= peer.m_gossip.m_sequence)) {
    return nullptr;
  }
  if (sent > known) {
    ++m_registration_version;
    peer.m_listed = false;
  }
  peer.m_record = gossip.m_sender;
  peer.m_gossip = std::move(gossip);
  peer.m_last_seen = now;
  return &peer;
}

bool ClusterView::IsAlive(std::string_view id,
                          uint64_t incarnation,
                          Millis now) const {
  if (id == m_self.m_id) {
    return incarnation == m_self.m_incarnation;
  }
  const auto found = m_peers.find(id);
  return found != m_peers.end() &&
         found->second.m_record.m_incarnation == incarnation &&
         IsPresent(found->second, now);
}

bool ClusterView::IsUnresponsive(const PeerVm& peer, Millis now) const {
  return peer.m_last_seen != Millis() &&
         !IsRecentlySeen(peer, now, kUnresponsiveAfter) &&
         2 * CountRecentlySeen(now) > CountMembers(now);
}

bool ClusterView::IsLost(std::string_view id,
                         uint64_t incarnation,
                         Millis now) const {
  if (!IsAlive(id, incarnation, now)) {
    return true;
  }
  const auto found = m_peers.find(id);
  return found != m_peers.end() && IsUnresponsive(found->second, now);
}

int ClusterView::CountMembers(Millis now) const {
  int count = 1;
  for (auto entry = m_peers.begin(); entry != m_peers.end(); ++entry) {
    count += IsPresent(entry->second, now) ? 1 : 0;
  }
  return count;
}

int ClusterView::CountRecentlySeen(Millis now) const {
  int count = 1;
  for (auto entry = m_peers.begin(); entry != m_peers.end(); ++entry) {
    count += IsRecentlySeen(entry->second, now, kRecentlySeenWindow) ? 1 : 0;
  }
  return count;
}

std::vector<VmGroupMember> ClusterView::Members(Millis now) const {
  std::vector<VmGroupMember> members = {{m_self.m_id, m_self.m_zone}};
  for (auto entry = m_peers.begin(); entry != m_peers.end(); ++entry) {
    if (IsPresent(entry->second, now)) {
      members.push_back({entry->first, entry->second.m_record.m_zone});
    }
  }
  return members;
}

std::vector<VmGroupMember> ClusterView::RegisteredVms() const {
  std::vector<VmGroupMember> vms;
  if (m_self_listed) {
    vms.push_back({m_self.m_id, m_self.m_zone});
  }
  for (auto entry = m_peers.begin(); entry != m_peers.end(); ++entry) {
    if (entry->second.m_listed) {
      vms.push_back({entry->first, entry->second.m_record.m_zone});
    }
  }
  return vms;
}

void ClusterView::RefreshGroup(Millis now) {
  const std::vector<VmGroupMember> members = Members(now);
  VmGroup group = FindVmGroup(m_self.m_id, m_self.m_zone, members);
  if (group.m_count != m_group.m_count ||
      group.m_is_whole_fleet != m_group.m_is_whole_fleet) {
    Log(Severity::kInfo, LogPart::kMembership,
        "The division of the fleet into groups has changed.",
        {{"members", group.m_fleet_size},
         {"cells_of_zone", group.m_count},
         {"cell", group.m_index},
         {"cell_size", group.m_size}});
  }
  m_group = std::move(group);
}

std::string ClusterView::FirstFor(
    std::string_view key,
    absl::FunctionRef<bool(const PeerVm&)> is_candidate) const {
  const uint64_t seed = Hash64(key);
  std::string_view best = m_self.m_id;
  uint64_t best_score = Hash64(m_self.m_id, seed);
  for (auto entry = m_peers.begin(); entry != m_peers.end(); ++entry) {
    const uint64_t score = Hash64(entry->first, seed);
    if (score > best_score && is_candidate(entry->second)) {
      best = entry->first;
      best_score = score;
    }
  }
  return std::string(best);
}

std::string ClusterView::FirstVmFor(std::string_view key, Millis now) const {
  return FirstFor(key,
                  [now](const PeerVm& peer) { return IsPresent(peer, now); });
}

std::string ClusterView::FirstVmForExcept(std::string_view key,
                                          std::string_view except,
                                          Millis now) const {
  const uint64_t seed = Hash64(key);
  std::string_view best;
  uint64_t best_score = 0;
  if (m_self.m_id != except) {
    best = m_self.m_id;
    best_score = Hash64(m_self.m_id, seed);
  }
  for (auto entry = m_peers.begin(); entry != m_peers.end(); ++entry) {
    const uint64_t score = Hash64(entry->first, seed);
    if ((best.empty() || score > best_score) && entry->first != except &&
        IsPresent(entry->second, now)) {
      best = entry->first;
      best_score = score;
    }
  }
  return std::string(best);
}

std::string ClusterView::FirstResponsiveVmFor(std::string_view key,
                                              Millis now) const {
  return FirstResponsiveVmFor(key, now, [](std::string_view) { return true; });
}

std::string ClusterView::FirstResponsiveVmFor(
    std::string_view key,
    Millis now,
    absl::FunctionRef<bool(std::string_view)> is_in_scope) const {
  return FirstFor(key, [&](const PeerVm& peer) {
    return IsPresent(peer, now) && !IsUnresponsive(peer, now) &&
           is_in_scope(peer.m_record.m_zone);
  });
}

}  // namespace bronzecross
