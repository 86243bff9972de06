// Detects upstreams that work several times slower than the others of their
// service. Such an upstream fails no request, but under a load near capacity
// each request that it gets holds a slot for too long and comes late. The pace
// is learned from the events of running streams, so that it is known before the
// first of them ends.

#ifndef BRONZECROSS_DISPATCH_UPSTREAM_PACE_H_
#define BRONZECROSS_DISPATCH_UPSTREAM_PACE_H_

#include <optional>
#include <span>

#include "base/clock.h"

namespace bronzecross {

// Moving averages in ms of the time per request, or per event of an engine's
// stream. Zero: not measured.
struct UpstreamPace {
  double m_own_ms = 0;
  Millis m_own_time;  // of the last own measurement
  double m_peer_ms = 0;
  Millis m_peer_time;  // when another VM last reported its average
};

// Adds a measurement of this VM.
void RecordWorkTime(UpstreamPace& pace, double work_ms, Millis now);
// Stores the average that another VM reported.
void RecordPeerWorkTime(UpstreamPace& pace, double work_ms, Millis now);

// Returns this VM's average if it is fresh, otherwise the latest that is known;
// zero if there is none.
double CurrentWorkMs(const UpstreamPace& pace, Millis now);
// Returns this VM's average if it is fresh enough to be reported to other VMs,
// otherwise zero.
double ReportedWorkMs(const UpstreamPace& pace, Millis now);

// Returns the work time that the faster upstreams of a service need; zero if
// none of `work_ms` is measured.
double ReferenceWorkMs(std::span<const double> work_ms);

// Returns whether an upstream should get requests only if no other has a free
// slot. With all upstreams equally slow, none is.
bool IsSlow(double work_ms, double reference_ms);

// Returns whether a slow upstream that runs `in_flight` requests, over all VMs,
// should get one to find out whether it has recovered.
bool IsProbeDue(const UpstreamPace& pace, int in_flight, Millis now);

// Measures the pace of one stream.
struct PaceMeter {
  Millis m_since;  // zero before the first event
  int m_events = 0;
};

// Counts events that have just arrived. Returns the mean time per event each
// time enough of them have arrived since the last result.
std::optional<double> MeasurePace(PaceMeter& meter, int events, Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_DISPATCH_UPSTREAM_PACE_H_
