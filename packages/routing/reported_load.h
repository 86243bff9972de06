// Load that an upstream has from others than the VMs, derived from its late
// reports.

#ifndef BRONZECROSS_ROUTING_REPORTED_LOAD_H_
#define BRONZECROSS_ROUTING_REPORTED_LOAD_H_

#include <cstdint>

#include "base/clock.h"

namespace bronzecross {

struct ReportedLoad {
  // Smoothed reported requests less those that the VMs had sent, which cancels
  // the requests that both contain. Never used below zero.
  double m_excess = 0;
  // When the last report was asked for; zero: never.
  Millis m_reported_at;
  // Belief in the reports, 0 to 1. Falls when answers come faster than the
  // reported load allows.
  double m_trust = 1;
};

// Takes a report of `reported` requests; `sent` are the VMs' own at this
// moment.
void NoteReport(ReportedLoad& load,
                int64_t reported,
                int64_t sent,
                Millis reported_at);

// Takes an answer that took `took_ms` where `service_ms` is the time without
// waiting, and corrects the belief in the reports.
void NoteAnswerTime(ReportedLoad& load,
                    double took_ms,
                    double service_ms,
                    int64_t slots);

// Other load to count now; falls with the report's age to zero after 2 s.
double OtherLoad(const ReportedLoad& load, Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_ROUTING_REPORTED_LOAD_H_
