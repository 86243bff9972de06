#include "prompt_cache/prefix_reports.h"

namespace bronzecross {
namespace {

constexpr int kCopies = 2;

// Enough for the requests of half a second of a busy VM. Older reports are
// worth less than newer ones.
constexpr size_t kMaxPending = 32;

}  // namespace

void PrefixReports::Add(const PrefixReport& report) {
  if (m_pending.size() == kMaxPending) {
    m_pending.pop_front();
  }
  m_pending.push_back({report, kCopies});
}

void PrefixReports::AddToGossip(GossipMessage& gossip, Millis now) {
  if (m_pending.empty() || now - m_last < kMinReportInterval) {
    return;
  }
  m_last = now;
  for (auto pending = m_pending.rbegin();
       pending != m_pending.rend() &&
       gossip.m_prefixes.size() < kMaxPrefixReports;
       ++pending) {
    gossip.m_prefixes.push_back(pending->m_report);
    --pending->m_copies;
  }
  std::erase_if(m_pending,
                [](const Pending& pending) { return pending.m_copies <= 0; });
}

}  // namespace bronzecross
