#include "dispatch/break_book.h"

#include <algorithm>

#include "base/hash.h"
#include "base/text.h"

namespace bronzecross {
namespace {

// Upstreams may fall for other reasons while a request runs. A request that
// does it is known by three; three more are allowed for the others.
constexpr int kMostBreaks = 6;

// Callers come again within seconds, and a fault that breaks many requests
// passes.
constexpr Millis kRemembered{60'000};

// Entries in one message to the peers; those that broke most often go first.
constexpr size_t kMostTold = 12;

}  // namespace

uint32_t RequestFingerprint(std::string_view workspace,
                            std::string_view target,
                            std::string_view body) {
  return static_cast<uint32_t>(Hash64(body, Hash64(target, Hash64(workspace))));
}

void BreakBook::NoteBreak(uint32_t fingerprint, Millis now) {
  Entry& entry = m_breaks[fingerprint];
  ++entry.m_count;
  entry.m_last = now;
}

bool BreakBook::IsGivenUp(uint32_t fingerprint,
                          const ClusterView& cluster,
                          Millis now) const {
  const auto own = m_breaks.find(fingerprint);
  int count = own == m_breaks.end() ? 0 : own->second.m_count;
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
  return count >= kMostBreaks;
}

void BreakBook::AddToNews(GossipMessage& news, Millis now) const {
  for (auto entry = m_breaks.begin(); entry != m_breaks.end(); ++entry) {
    if (now - entry->second.m_last < kRemembered) {
      news.m_request_failures.push_back({entry->first, entry->second.m_count});
    }
  }
  std::stable_sort(news.m_request_failures.begin(),
                   news.m_request_failures.end(),
                   [](const RequestFailures& a, const RequestFailures& b) {
                     return a.m_count > b.m_count;
                   });
  news.m_request_failures.resize(
      std::min(news.m_request_failures.size(), kMostTold));
}

void BreakBook::Expire(Millis now) {
  for (auto entry = m_breaks.begin(); entry != m_breaks.end();) {
    if (now - entry->second.m_last >= kRemembered) {
      entry = m_breaks.erase(entry);
    } else {
      ++entry;
    }
  }
}

}  // namespace bronzecross
