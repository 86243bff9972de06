#include "upstreams/upstream_record.h"

#include <algorithm>

namespace bronzecross {
namespace {

// Lifetime of a VM's report, long enough to tolerate a few lost heartbeats.
constexpr Millis kPeerReportLifetime{2000};
// A VM without requests never probes its open breaker, so the other VMs respect
// the breaker only this long before they send requests of their own.
constexpr Millis kPeerTripLifetime{3000};

bool IsFresh(const PeerRecord& peer, Millis now) {
  return now - peer.m_received_at < kPeerReportLifetime;
}

// Returns whether the peer's breaker is open and this VM has had no successful
// response since it opened.
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

ServiceTime CombinedServiceTime(const UpstreamRecord& record) {
  ServiceTime combined = record.m_service;
  for (const auto& [id, peer] : record.m_peers) {
    combined = Combine(combined, peer.m_service);
  }
  return combined;
}

bool IsTrippedByPeer(const UpstreamRecord& record, Millis now) {
  return std::any_of(record.m_peers.begin(), record.m_peers.end(),
                     [&](const auto& entry) {
                       const PeerRecord& peer = entry.second;
                       return IsOpenAt(peer, record, now) &&
                              now - peer.m_open_since < kPeerTripLifetime;
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

bool IsReportedLeaving(const UpstreamRecord& record, Millis now) {
  return std::any_of(
      record.m_peers.begin(), record.m_peers.end(), [now](const auto& entry) {
        return IsFresh(entry.second, now) && entry.second.m_leaving;
      });
}

}  // namespace bronzecross
