#include "cluster/cluster_view.h"

#include <algorithm>

#include "base/hash.h"
#include "base/log.h"
#include "base/text.h"

namespace bronzecross {
namespace {

// A VM that is no longer registered gets news for so long: it may be cut off
// from the key-value service only.
constexpr Millis kForgetAfter{10'000};

// A VM that most others are heard beside is lost after this silence: four of
// the news that it sends to other cells. Its registration may last for much
// longer.
constexpr Millis kSilenceLimit{3'200};

bool IsPresent(const PeerVm& peer, Millis now) {
  return peer.m_listed || IsHeard(peer, now, kHeardWindow);
}

}  // namespace

PeerVm* ClusterView::FindPeer(std::string_view id) {
  const auto found = m_peers.find(id);
  return found == m_peers.end() ? nullptr : &found->second;
}

void ClusterView::Put(const VmRecord& record) {
  if (record.m_id == m_self.m_id) {
    m_self_listed = record.m_incarnation == m_self.m_incarnation;
    m_replaces_earlier_self = m_replaces_earlier_self || !m_self_listed;
    return;
  }
  PeerVm& peer = m_peers[record.m_id];
  if (!peer.m_listed || peer.m_record.m_incarnation != record.m_incarnation) {
    Log(Severity::kInfo, LogPart::kMembership, "A VM is registered.",
        {{"vm", record.m_id},
         {"incarnation", record.m_incarnation},
         {"address", record.m_address.ToString()}});
  }
  if (peer.m_record.m_incarnation != record.m_incarnation) {
    peer.m_heard = Millis();
    peer.m_news = PeerNews();
  }
  peer.m_record = record;
  peer.m_listed = true;
}

void ClusterView::OnSnapshot(std::span<const KvItem> items) {
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
        "A VM's registration can't be read.", {{"key", event.m_item.m_key}});
    return;
  }
  Put(*record);
}

void ClusterView::AddHint(const VmRecord& record) {
  if (record.m_id != m_self.m_id && FindPeer(record.m_id) == nullptr) {
    PeerVm& peer = m_peers[record.m_id];
    peer.m_record = record;
    peer.m_hinted = MonotonicNow();
  }
}

void ClusterView::Expire(Millis now) {
  for (auto entry = m_peers.begin(); entry != m_peers.end();) {
    const PeerVm& peer = entry->second;
    const Millis known = std::max(peer.m_heard, peer.m_hinted);
    if (!peer.m_listed && now - known > kForgetAfter) {
      entry = m_peers.erase(entry);
    } else {
      ++entry;
    }
  }
}

PeerVm* ClusterView::OnNews(PeerNews news, Millis now) {
  if (news.m_sender.m_id == m_self.m_id) {
    return nullptr;
  }
  PeerVm& peer = m_peers[news.m_sender.m_id];
  const uint64_t known = peer.m_record.m_incarnation;
  const uint64_t sent = news.m_sender.m_incarnation;
  if (sent < known ||
      (sent == known && news.m_sequence <= peer.m_news.m_sequence)) {
    return nullptr;
  }
  if (sent > known) {
    peer.m_listed = false;
  }
  peer.m_record = news.m_sender;
  peer.m_news = std::move(news);
  peer.m_heard = now;
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

bool ClusterView::IsSilent(const PeerVm& peer, Millis now) const {
  return peer.m_heard != Millis() && !IsHeard(peer, now, kSilenceLimit) &&
         2 * CountHeard(now) > CountMembers(now);
}

bool ClusterView::IsLost(std::string_view id,
                         uint64_t incarnation,
                         Millis now) const {
  if (!IsAlive(id, incarnation, now)) {
    return true;
  }
  const auto found = m_peers.find(id);
  return found != m_peers.end() && IsSilent(found->second, now);
}

int ClusterView::CountMembers(Millis now) const {
  int count = 1;
  for (auto entry = m_peers.begin(); entry != m_peers.end(); ++entry) {
    count += IsPresent(entry->second, now) ? 1 : 0;
  }
  return count;
}

int ClusterView::CountHeard(Millis now) const {
  int count = 1;
  for (auto entry = m_peers.begin(); entry != m_peers.end(); ++entry) {
    count += IsHeard(entry->second, now, kHeardWindow) ? 1 : 0;
  }
  return count;
}

void ClusterView::RefreshCell(Millis now) {
  std::vector<CellMember> members;
  for (auto entry = m_peers.begin(); entry != m_peers.end(); ++entry) {
    if (IsPresent(entry->second, now)) {
      members.push_back({entry->first, entry->second.m_record.m_zone});
    }
  }
  Cell cell = FindCell(m_self.m_id, m_self.m_zone, members);
  if (cell.m_count != m_cell.m_count ||
      cell.m_is_whole_fleet != m_cell.m_is_whole_fleet) {
    Log(Severity::kInfo, LogPart::kMembership, "The fleet is divided anew.",
        {{"members", cell.m_fleet_size},
         {"cells_of_zone", cell.m_count},
         {"cell", cell.m_index},
         {"cell_size", cell.m_size}});
  }
  m_cell = std::move(cell);
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

std::string ClusterView::FirstHeardVmFor(std::string_view key,
                                         Millis now) const {
  return FirstFor(key, [this, now](const PeerVm& peer) {
    return IsPresent(peer, now) && !IsSilent(peer, now);
  });
}

}  // namespace bronzecross
