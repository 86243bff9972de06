// Estimates the load on an upstream that does not come from the VMs, from the
// delayed load reports of the upstream.

#ifndef BRONZECROSS_ROUTING_REPORTED_LOAD_H_
#define BRONZECROSS_ROUTING_REPORTED_LOAD_H_

#include <cstdint>

#include "base/clock.h"

namespace bronzecross {

struct ReportedLoad {
  // Moving average of the reported requests minus those that the VMs had in
  // flight, so that no request is counted twice. Negative values count as zero.
  double m_excess = 0;
  // When the last report was requested; zero: never.
  Millis m_reported_at;
  // Confidence in the reports, 0 to 1. Decreases when responses arrive faster
  // than the reported load allows.
  double m_trust = 1;
};

// Records a report of `reported` requests. `sent` is the number of requests
// that the VMs have in flight at this time.
void RecordReport(ReportedLoad& load,
                  int64_t reported,
                  int64_t sent,
                  Millis reported_at);

// Records a response that took `took_ms`, where `service_ms` is the time
// without waiting, and adjusts the confidence in the reports.
void RecordResponseTime(ReportedLoad& load,
                        double took_ms,
                        double service_ms,
                        int64_t slots);

// Returns the estimated external load. It decreases linearly with the age of
// the last report and is zero after 2 s.
double ExternalLoad(const ReportedLoad& load, Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_ROUTING_REPORTED_LOAD_H_
