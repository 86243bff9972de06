// What an upstream reports of its own load in its responses. It shares its
// machine with other work, so the time that a request takes changes many times
// a second, and it runs requests of VMs that this VM doesn't hear of.

#ifndef BRONZECROSS_DISPATCH_UPSTREAM_REPORT_H_
#define BRONZECROSS_DISPATCH_UPSTREAM_REPORT_H_

#include <optional>

#include "base/clock.h"
#include "platform/request_headers.h"

namespace bronzecross {

// The machine's usual pace, in percent.
inline constexpr int kUsualMachinePercent = 100;

// Time for which the figures of a report hold; they count less as it ages.
inline constexpr Millis kReportLifetime{600};

// How long work takes on the machine of an upstream, and when it said so.
struct MachineReport {
  int m_percent = kUsualMachinePercent;
  Millis m_time;
};

// The latest report of one upstream.
struct UpstreamReport {
  int m_running = 0;
  int m_waiting = 0;
  // Requests of this VM and its group that were counted at the upstream when
  // the report arrived.
  int m_known = 0;
  Millis m_arrived;  // zero: no report
  // From the latest response to this VM that had the figure, and from the
  // latest to another VM of the group.
  std::optional<MachineReport> m_machine;
  std::optional<MachineReport> m_peer_machine;
};

// Stores the figures of a response that has just arrived.
void RecordReport(UpstreamReport& report,
                  const platform::UpstreamReportedLoad& figures,
                  int known,
                  Millis now);
// Stores what another VM was told at `report.m_time`, unless a later report of
// another VM is known.
void RecordPeerMachine(UpstreamReport& report, MachineReport peer);

// Returns how long work takes at present, in percent of the usual time. The
// newest report decays to kUsualMachinePercent within kReportLifetime.
double CurrentMachinePercent(const UpstreamReport& report, Millis now);

// Returns the number of requests of unknown VMs: those in the report beyond the
// known ones, decayed to zero within kReportLifetime.
double ReportedExtra(const UpstreamReport& report, Millis now);

// Returns this VM's report if it is fresh enough to be passed on to other VMs.
std::optional<MachineReport> FreshMachineReport(const UpstreamReport& report,
                                                Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_DISPATCH_UPSTREAM_REPORT_H_
