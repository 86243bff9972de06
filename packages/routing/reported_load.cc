#include "routing/reported_load.h"

#include <algorithm>

namespace bronzecross {
namespace {

// Older reports are ignored, since they do not describe the present load.
constexpr Millis kMaxReportAge{2000};
// Reports are delayed, so a single difference is noise; this averages over
// about five.
constexpr double kSmoothing = 0.2;
constexpr double kDistrustFactor = 0.8;
constexpr double kTrustGain = 0.02;

}  // namespace

void RecordReport(ReportedLoad& load,
                  int64_t reported,
                  int64_t sent,
                  Millis reported_at) {
  if (reported_at <= load.m_reported_at) {
    return;
  }
  const double excess = static_cast<double>(reported - sent);
  load.m_excess = load.m_reported_at == Millis(0)
                      ? excess
                      : load.m_excess + kSmoothing * (excess - load.m_excess);
  load.m_reported_at = reported_at;
}

void RecordResponseTime(ReportedLoad& load,
                        double took_ms,
                        double service_ms,
                        int64_t slots) {
  const double claimed_per_slot = load.m_excess / static_cast<double>(slots);
  const bool contradicts =
      claimed_per_slot > 1 && took_ms < service_ms * (1 + claimed_per_slot) / 2;
  load.m_trust = contradicts ? load.m_trust * kDistrustFactor
                             : std::min(1.0, load.m_trust + kTrustGain);
}

double ExternalLoad(const ReportedLoad& load, Millis now) {
  const Millis age = now - load.m_reported_at;
  if (load.m_reported_at == Millis(0) || age >= kMaxReportAge) {
    return 0;
  }
  const double freshness =
      1.0 - std::max(0.0, age.Seconds()) / kMaxReportAge.Seconds();
  return std::max(0.0, load.m_excess) * freshness * load.m_trust;
}

}  // namespace bronzecross
