#include "dispatch/upstream_pace.h"

#include <algorithm>
#include <vector>

namespace bronzecross {
namespace {

// Weight of a new measurement in the moving average. Two measurements of a
// stream that takes five times as long triple the average, one does not.
constexpr double kNewWeight = 0.35;

// A measurement counts as at most this many times the average, so that a single
// pause, of this VM or of the upstream, doesn't make an upstream slow.
constexpr double kMaxStep = 4;

// An own average of this age gives way to a later one of another VM, and is no
// longer reported.
constexpr Millis kFreshTime{1'000};

// A measurement replaces an average that is older than this.
constexpr Millis kOutdatedAfter{3'000};

// An upstream is slow if its work time exceeds the reference by this factor.
// Sound upstreams of one service differ by a factor of two or so.
constexpr double kSlowFactor = 3;

// The reference is the work time at this fraction of the sorted list.
constexpr size_t kReferenceDivisor = 3;

// Time without a measurement after which a slow upstream gets a probe.
constexpr Millis kProbeInterval{1'500};

// Events per measurement of a stream. The pauses between single events vary,
// since engines read prompts between them.
constexpr int kEventsPerMeasurement = 4;

}  // namespace

void RecordWorkTime(UpstreamPace& pace, double work_ms, Millis now) {
  const bool is_outdated =
      pace.m_own_ms == 0 || now - pace.m_own_time > kOutdatedAfter;
  const double bounded = std::min(work_ms, pace.m_own_ms * kMaxStep);
  pace.m_own_ms = is_outdated
                      ? work_ms
                      : pace.m_own_ms * (1 - kNewWeight) + bounded * kNewWeight;
  pace.m_own_time = now;
}

void RecordPeerWorkTime(UpstreamPace& pace, double work_ms, Millis now) {
  pace.m_peer_ms = work_ms;
  pace.m_peer_time = now;
}

double CurrentWorkMs(const UpstreamPace& pace, Millis now) {
  const bool is_own_used =
      pace.m_own_ms > 0 &&
      (pace.m_peer_ms == 0 || now - pace.m_own_time < kFreshTime ||
       pace.m_own_time >= pace.m_peer_time);
  return is_own_used ? pace.m_own_ms : pace.m_peer_ms;
}

double ReportedWorkMs(const UpstreamPace& pace, Millis now) {
  return now - pace.m_own_time < kFreshTime ? pace.m_own_ms : 0;
}

double ReferenceWorkMs(std::span<const double> work_ms) {
  std::vector<double> measured;
  std::copy_if(work_ms.begin(), work_ms.end(), std::back_inserter(measured),
               [](double ms) { return ms > 0; });
  if (measured.empty()) {
    return 0;
  }
  const auto at =
      measured.begin() +
      static_cast<ptrdiff_t>((measured.size() - 1) / kReferenceDivisor);
  std::nth_element(measured.begin(), at, measured.end());
  return *at;
}

bool IsSlow(double work_ms, double reference_ms) {
  return reference_ms > 0 && work_ms > kSlowFactor * reference_ms;
}

bool IsProbeDue(const UpstreamPace& pace, int in_flight, Millis now) {
  return in_flight == 0 &&
         now - std::max(pace.m_own_time, pace.m_peer_time) >= kProbeInterval;
}

std::optional<double> MeasurePace(PaceMeter& meter, int events, Millis now) {
  if (meter.m_since == Millis()) {
    // The time before the first event isn't known.
    meter.m_since = now;
    return std::nullopt;
  }
  meter.m_events += events;
  if (meter.m_events < kEventsPerMeasurement) {
    return std::nullopt;
  }
  const double mean =
      static_cast<double>((now - meter.m_since).count()) / meter.m_events;
  meter.m_since = now;
  meter.m_events = 0;
  return mean;
}

}  // namespace bronzecross
