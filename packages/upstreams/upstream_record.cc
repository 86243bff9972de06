#include "upstreams/upstream_record.h"

#include <algorithm>

namespace bronzecross {
namespace {

// What a VM told is forgotten after this time, which covers a few lost
// heartbeats.
constexpr Millis kPeerCountLife{2000};
// A VM without requests never probes its open breaker. After this time the
// others try for themselves.
constexpr Millis kPeerTripLife{3000};

bool IsFresh(const PeerRecord& peer, Millis now) {
  return now - peer.m_told_at < kPeerCountLife;
}

// Whether the peer's breaker is open and this VM has had no answer since.
bool IsOpenAt(const PeerRecord& peer,
              const UpstreamRecord& record,
              Millis now) {
  return IsFresh(peer, now) && peer.m_open_since != Millis(0) &&
         record.m_breaker.m_last_success < peer.m_open_since;
}

}  // namespace

PeerTotals SumPeers(const UpstreamRecord& record, Millis now) {
  PeerTotals totals;
  for (const auto& [id, peer] : record.m_peers) {
    if (IsFresh(peer, now)) {
      totals.m_online += peer.m_online;
      totals.m_batch += peer.m_batch;
    }
  }
  return totals;
}

ServiceTime SharedServiceTime(const UpstreamRecord& record) {
  ServiceTime shared = record.m_service;
  for (const auto& [id, peer] : record.m_peers) {
    shared = Combine(shared, peer.m_service);
  }
  return shared;
}

bool IsTrippedByPeer(const UpstreamRecord& record, Millis now) {
  return std::any_of(record.m_peers.begin(), record.m_peers.end(),
                     [&](const auto& entry) {
                       const PeerRecord& peer = entry.second;
                       return IsOpenAt(peer, record, now) &&
                              now - peer.m_open_since < kPeerTripLife;
                     });
}

bool IsOpenAtPeer(const UpstreamRecord& record, Millis now) {
  return std::any_of(
      record.m_peers.begin(), record.m_peers.end(),
      [&](const auto& entry) { return IsOpenAt(entry.second, record, now); });
}

bool IsProbeDue(const UpstreamRecord& record, Millis now) {
  return record.m_counts->m_online + record.m_counts->m_batch == 0 &&
         (IsOpen(record.m_breaker) || IsOpenAtPeer(record, now));
}

bool IsReserved(const UpstreamRecord& record, Millis now) {
  return record.m_reserved ||
         std::any_of(record.m_peers.begin(), record.m_peers.end(),
                     [now](const auto& entry) {
                       return IsFresh(entry.second, now) &&
                              entry.second.m_reserved;
                     });
}

bool IsLeavingForPeer(const UpstreamRecord& record, Millis now) {
  return std::any_of(
      record.m_peers.begin(), record.m_peers.end(), [now](const auto& entry) {
        return IsFresh(entry.second, now) && entry.second.m_leaving;
      });
}

}  // namespace bronzecross
