// What this VM knows of one upstream.

#ifndef BRONZECROSS_UPSTREAMS_UPSTREAM_RECORD_H_
#define BRONZECROSS_UPSTREAMS_UPSTREAM_RECORD_H_

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "routing/choose_upstream.h"
#include "routing/circuit_breaker.h"
#include "routing/prompt_prefix.h"
#include "routing/reported_load.h"
#include "routing/service_time.h"
#include "upstreams/in_flight.h"

namespace bronzecross {

// What another VM last told of the upstream.
struct PeerRecord {
  Millis m_told_at;
  int64_t m_online = 0;
  int64_t m_batch = 0;
  ServiceTime m_service;
  // When it first told of its open breaker; zero: closed.
  Millis m_open_since;
  // It keeps the upstream free for a request that must run alone.
  bool m_reserved = false;
  bool m_leaving = false;
};

struct UpstreamRecord {
  std::shared_ptr<InFlightCounts> m_counts = std::make_shared<InFlightCounts>();
  std::map<std::string, PeerRecord, std::less<>> m_peers;
  ReportedLoad m_reported;
  int64_t m_last_report = 0;
  // Whether this VM asked for the last report and tells it to the others.
  bool m_polled_here = false;
  ServiceTime m_service;
  CircuitBreaker m_breaker;
  PrefixHistory m_prefixes;
  // Prefixes sent here by this VM, for the heartbeat digest; newest last.
  std::deque<std::pair<Millis, uint64_t>> m_sent_prefixes;
  // The upstream asked for no requests before this instant.
  Millis m_quiet_until;
  // Models that the upstream lately refused, and until when that is believed.
  std::map<std::string, Millis, std::less<>> m_refused_models;
  bool m_reserved = false;
  // Last send or answer of this VM.
  Millis m_active_at;
};

// In-flight counts of all other VMs that told within the last 2 s.
struct PeerTotals {
  int64_t m_online = 0;
  int64_t m_batch = 0;
};
PeerTotals SumPeers(const UpstreamRecord& record, Millis now);

// The learned service time of all VMs together.
ServiceTime SharedServiceTime(const UpstreamRecord& record);

// Whether another VM's breaker opened lately and this VM has had no answer
// since. After a few seconds this VM tries for itself.
bool IsTrippedByPeer(const UpstreamRecord& record, Millis now);

// The same without an end: one more failure here opens this VM's breaker too.
bool IsOpenAtPeer(const UpstreamRecord& record, Millis now);

// Whether the upstream failed here or at another VM and no request of this VM
// is finding out whether it works again. Asked for upstreams that may be tried.
bool IsProbeDue(const UpstreamRecord& record, Millis now);

// Whether another VM keeps the upstream free, or this VM does.
bool IsReserved(const UpstreamRecord& record, Millis now);

bool IsLeavingForPeer(const UpstreamRecord& record, Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_UPSTREAMS_UPSTREAM_RECORD_H_
