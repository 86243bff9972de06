#include "dispatch/upstream_report.h"

#include <algorithm>

namespace bronzecross {
namespace {

// Returns the weight of a report from `time`, from one to zero.
double Freshness(Millis time, Millis now) {
  const double age = static_cast<double>((now - time).count());
  return std::clamp(1 - age / static_cast<double>(kReportLifetime.count()), 0.0,
                    1.0);
}

}  // namespace

void RecordReport(UpstreamReport& report,
                  const platform::UpstreamReportedLoad& figures,
                  int known,
                  Millis now) {
  report.m_running = figures.m_running;
  report.m_waiting = figures.m_waiting;
  report.m_known = known;
  report.m_arrived = now;
  if (figures.m_machine_percent) {
    report.m_machine = MachineReport{*figures.m_machine_percent, now};
  }
}

void RecordPeerMachine(UpstreamReport& report, MachineReport peer) {
  if (!report.m_peer_machine || peer.m_time >= report.m_peer_machine->m_time) {
    report.m_peer_machine = peer;
  }
}

double CurrentMachinePercent(const UpstreamReport& report, Millis now) {
  const bool is_peer_newer =
      report.m_peer_machine &&
      (!report.m_machine ||
       report.m_peer_machine->m_time > report.m_machine->m_time);
  const std::optional<MachineReport>& newest =
      is_peer_newer ? report.m_peer_machine : report.m_machine;
  if (!newest) {
    return kUsualMachinePercent;
  }
  return kUsualMachinePercent + (newest->m_percent - kUsualMachinePercent) *
                                    Freshness(newest->m_time, now);
}

double ReportedExtra(const UpstreamReport& report, Millis now) {
  if (report.m_arrived == Millis()) {
    return 0;
  }
  const int extra = report.m_running + report.m_waiting - report.m_known;
  return std::max(extra, 0) * Freshness(report.m_arrived, now);
}

std::optional<MachineReport> FreshMachineReport(const UpstreamReport& report,
                                                Millis now) {
  return report.m_machine && now - report.m_machine->m_time < kReportLifetime
             ? report.m_machine
             : std::nullopt;
}

}  // namespace bronzecross
