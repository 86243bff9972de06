// State of one upstream as this VM knows it from its own requests and from the
// heartbeats of other VMs.

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

// Latest state of the upstream reported by another VM.
struct PeerRecord {
  Millis m_received_at;
  int64_t m_online = 0;
  int64_t m_batch = 0;
  ServiceTime m_service;
  // When it first reported its circuit breaker as open; zero if closed.
  Millis m_open_since;
  // Whether it reserves the upstream for a request that must run alone.
  bool m_reserved = false;
  bool m_leaving = false;
};

struct UpstreamRecord {
  // This VM's own requests.
  std::shared_ptr<InFlightCounts> m_counts = std::make_shared<InFlightCounts>();
  std::map<std::string, PeerRecord, std::less<>> m_peers;
  ReportedLoad m_reported;
  // Requests running and waiting in the last load report.
  int64_t m_last_report = 0;
  // Whether this VM polls the upstream's load reports and publishes them to the
  // other VMs.
  bool m_polled_here = false;
  ServiceTime m_service;
  CircuitBreaker m_breaker;
  PrefixHistory m_prefixes;
  // Hashes of prompt prefixes that this VM sent to the upstream and when, for
  // the heartbeat digest; newest last.
  std::deque<std::pair<Millis, uint64_t>> m_sent_prefixes;
  // Time until which the upstream asked to get no new requests.
  Millis m_backoff_until;
  // Models that the upstream rejected, and until when it gets no requests for
  // them.
  std::map<std::string, Millis, std::less<>> m_rejected_models;
  // Whether this VM reserves the upstream for a request that must run alone.
  bool m_reserved = false;
  // Last time this VM sent a request to the upstream, recorded an outcome or
  // ended a reservation.
  Millis m_active_at;
};

// In-flight counts of the other VMs that reported within the last 2 s.
struct PeerTotals {
  int64_t m_online = 0;
  int64_t m_batch = 0;
};

// Returns the sums over the other VMs' latest reports.
PeerTotals SumPeers(const UpstreamRecord& record, Millis now);

// Returns the service time learned from the responses to all VMs.
ServiceTime CombinedServiceTime(const UpstreamRecord& record);

// Returns whether another VM's circuit breaker opened within the last 3 s and
// this VM has had no successful response since. After 3 s this VM sends
// requests of its own to find out.
bool IsTrippedByPeer(const UpstreamRecord& record, Millis now);

// The same without the time limit. One failure on this VM then opens its
// breaker too.
bool IsOpenAtPeer(const UpstreamRecord& record, Millis now);

// Returns whether the circuit breaker is open here or at another VM and no
// request of this VM is in flight that probes the upstream. Called only for
// upstreams that may get a request.
bool IsProbeDue(const UpstreamRecord& record, Millis now);

// Returns whether this or another VM reserves the upstream for a request that
// must run alone.
bool IsReserved(const UpstreamRecord& record, Millis now);

// Returns whether another VM reports that the upstream is leaving.
bool IsReportedLeaving(const UpstreamRecord& record, Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_UPSTREAMS_UPSTREAM_RECORD_H_
