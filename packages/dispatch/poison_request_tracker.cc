#include "dispatch/poison_request_tracker.h"

#include <algorithm>

#include "base/hash.h"
#include "base/text.h"

namespace bronzecross {
namespace {

// Three broken responses identify a poison request. Three more are allowed for
// upstreams that fail for other reasons while the request runs.
constexpr int kMaxBrokenResponses = 6;

// How long an entry is kept after its last broken response or blocked attempt.
// Callers retry within seconds, and a fault that breaks many requests is
// temporary.
constexpr Millis kRetention{60'000};

// Time within which one crash of an upstream is noticed on all its connections.
constexpr Millis kSameCrash{250};

// Maximum number of entries in one gossip message; those with the highest
// counts are kept.
constexpr size_t kMaxGossipEntries = 12;

}  // namespace

uint32_t RequestFingerprint(std::string_view workspace,
                            std::string_view target,
                            std::string_view body) {
  return static_cast<uint32_t>(Hash64(body, Hash64(target, Hash64(workspace))));
}

void PoisonRequestTracker::RecordBrokenResponse(uint32_t fingerprint,
                                                std::string_view upstream,
                                                Millis now) {
  Entry& entry = m_entries[fingerprint];
  const uint32_t hash = ShortHash(upstream);
  entry.m_last = now;
  if (entry.m_count > 0 && entry.m_upstream == hash &&
      now - entry.m_broke < kSameCrash) {
    return;
  }
  ++entry.m_count;
  entry.m_upstream = hash;
  entry.m_broke = now;
}

bool PoisonRequestTracker::ShouldBlock(uint32_t fingerprint,
                                       const ClusterView& cluster,
                                       Millis now) {
  const auto own = m_entries.find(fingerprint);
  int count = own == m_entries.end() ? 0 : own->second.m_count;
  for (auto entry = cluster.Peers().begin(); entry != cluster.Peers().end();
       ++entry) {
    const PeerVm& peer = entry->second;
    if (!IsRecentlySeen(peer, now, kRecentlySeenWindow)) {
      continue;
    }
    for (const RequestFailures& breaks : peer.m_gossip.m_request_failures) {
      count += breaks.m_fingerprint == fingerprint ? breaks.m_count : 0;
    }
  }
  if (count < kMaxBrokenResponses) {
    return false;
  }
  // The counts of the peers expire if the request only comes here from now on.
  Entry& entry = m_entries[fingerprint];
  entry.m_count = std::max(entry.m_count, kMaxBrokenResponses);
  entry.m_last = now;
  return true;
}

void PoisonRequestTracker::AddToGossip(GossipMessage& gossip,
                                       Millis now) const {
  for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry) {
    if (now - entry->second.m_last < kRetention) {
      gossip.m_request_failures.push_back(
          {entry->first, entry->second.m_count});
    }
  }
  std::stable_sort(gossip.m_request_failures.begin(),
                   gossip.m_request_failures.end(),
                   [](const RequestFailures& a, const RequestFailures& b) {
                     return a.m_count > b.m_count;
                   });
  gossip.m_request_failures.resize(
      std::min(gossip.m_request_failures.size(), kMaxGossipEntries));
}

void PoisonRequestTracker::Expire(Millis now) {
  for (auto entry = m_entries.begin(); entry != m_entries.end();) {
    if (now - entry->second.m_last >= kRetention) {
      entry = m_entries.erase(entry);
    } else {
      ++entry;
    }
  }
}

}  // namespace bronzecross
