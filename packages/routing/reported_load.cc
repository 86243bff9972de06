#include "routing/reported_load.h"

#include <algorithm>

namespace bronzecross {
namespace {

// An older load report says nothing about the present.
constexpr Millis kReportLife{2000};
// Reports lag, so that one difference is noise; about five are averaged.
constexpr double kSmoothing = 0.2;
constexpr double kDistrustFactor = 0.8;
constexpr double kTrustGain = 0.02;

}  // namespace

void NoteReport(ReportedLoad& load,
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

void NoteAnswerTime(ReportedLoad& load,
                    double took_ms,
                    double service_ms,
                    int64_t slots) {
  const double claimed = load.m_excess / static_cast<double>(slots);
  const bool contradicts =
      claimed > 1 && took_ms < service_ms * (1 + claimed) / 2;
  load.m_trust = contradicts ? load.m_trust * kDistrustFactor
                             : std::min(1.0, load.m_trust + kTrustGain);
}

double OtherLoad(const ReportedLoad& load, Millis now) {
  const Millis age = now - load.m_reported_at;
  if (load.m_reported_at == Millis(0) || age >= kReportLife) {
    return 0;
  }
  const double fresh =
      1.0 - std::max(0.0, age.Seconds()) / kReportLife.Seconds();
  return std::max(0.0, load.m_excess) * fresh * load.m_trust;
}

}  // namespace bronzecross
