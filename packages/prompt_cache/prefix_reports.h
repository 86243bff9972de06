// The newest cached prefixes that this VM has to report to the VMs of its
// group.

#ifndef BRONZECROSS_PROMPT_CACHE_PREFIX_REPORTS_H_
#define BRONZECROSS_PROMPT_CACHE_PREFIX_REPORTS_H_

#include <deque>

#include "cluster/gossip_message.h"

namespace bronzecross {

// Less than the interval between regular messages.
inline constexpr Millis kMinReportInterval{80};

class PrefixReports {
 public:
  // Adds a report. If too many wait to be sent, the oldest is dropped.
  void Add(const PrefixReport& report);
  // Adds up to kMaxPrefixReports reports to a message, the newest first. Each
  // goes into two messages, as messages may be lost. Messages that follow one
  // another within kMinReportInterval get reports only once, which bounds the
  // bytes per second.
  void AddToGossip(GossipMessage& gossip, Millis now);

 private:
  struct Pending {
    PrefixReport m_report;
    int m_copies = 0;  // messages that it still goes into
  };
  std::deque<Pending> m_pending;  // the oldest first
  Millis m_last;                  // time of the last message with reports
};

}  // namespace bronzecross

#endif  // BRONZECROSS_PROMPT_CACHE_PREFIX_REPORTS_H_
