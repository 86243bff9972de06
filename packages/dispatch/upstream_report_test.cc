#include <doctest/doctest.h>

#include <algorithm>

#include "dispatch/upstream.h"

namespace bronzecross {
namespace {

constexpr Millis kArrived{5'000};

TEST_CASE("a machine's percentage decays to the usual as the report ages") {
  UpstreamReport report;
  CHECK(CurrentMachinePercent(report, kArrived) == 100);
  CHECK_FALSE(FreshMachineReport(report, kArrived));
  RecordReport(report, {4, 0, 8, 250}, 4, kArrived);
  CHECK(CurrentMachinePercent(report, kArrived) == 250);
  CHECK(CurrentMachinePercent(report, kArrived + Millis(300)) == 175);
  CHECK(CurrentMachinePercent(report, kArrived + kReportLifetime) == 100);
  CHECK(CurrentMachinePercent(report, kArrived + Millis(60'000)) == 100);
  CHECK_FALSE(FreshMachineReport(report, kArrived + kReportLifetime));
  // Three figures say nothing of the machine.
  RecordReport(report, {4, 0, 8, std::nullopt}, 4, kArrived + Millis(60));
  CHECK(CurrentMachinePercent(report, kArrived + Millis(300)) == 175);
}

// Guards against an old report of one VM that hides a newer one of another.
TEST_CASE("the newest report of the group counts, wherever it arrived") {
  UpstreamReport report;
  RecordReport(report, {4, 0, 8, 250}, 4, kArrived);
  RecordPeerMachine(report, {400, kArrived - Millis(100)});
  CHECK(CurrentMachinePercent(report, kArrived) == 250);
  RecordPeerMachine(report, {100, kArrived + Millis(100)});
  RecordPeerMachine(report, {300, kArrived + Millis(50)});
  CHECK(CurrentMachinePercent(report, kArrived + Millis(100)) == 100);
  // Only what this VM received itself is passed on.
  CHECK(FreshMachineReport(report, kArrived + Millis(100))->m_percent == 250);
}

// Guards against a VM's own requests being counted twice.
TEST_CASE("only requests beyond the known ones are of unknown VMs") {
  UpstreamReport report;
  CHECK(ReportedExtra(report, kArrived) == 0);
  RecordReport(report, {5, 1, 8, std::nullopt}, 6, kArrived);
  CHECK(ReportedExtra(report, kArrived) == 0);
  RecordReport(report, {5, 1, 8, std::nullopt}, 2, kArrived);
  CHECK(ReportedExtra(report, kArrived) == 4);
  CHECK(ReportedExtra(report, kArrived + Millis(300)) == 2);
  CHECK(ReportedExtra(report, kArrived + kReportLifetime) == 0);
  RecordReport(report, {1, 0, 8, std::nullopt}, 3, kArrived);
  CHECK(ReportedExtra(report, kArrived) == 0);
}

// Guards against a report that steers a small fleet, in which gossip tells of
// all requests.
TEST_CASE("requests of unknown VMs count only in fleets of several groups") {
  UpstreamEntry entry;
  entry.m_id = "u";
  entry.m_slots = 8;
  const std::vector<UpstreamPtr> upstreams = {
      std::make_shared<Upstream>(std::move(entry))};
  Upstream& upstream = *upstreams[0];
  upstream.m_online = 1;
  upstream.m_peer_batch = 1;
  RecordLoad(upstream, {5, 1, 8, 250}, kArrived);
  CandidateLoad load = GetLoads(upstreams, "z", kArrived)[0];
  CHECK(load.m_reported_extra == 0);
  CHECK(load.m_machine_percent == 250);
  upstream.m_has_unknown_vms = true;
  load = GetLoads(upstreams, "z", kArrived)[0];
  CHECK(load.m_reported_extra == 4);
  const UpstreamUse use = MakeUse(upstream, kArrived + Millis(200));
  CHECK(use.m_machine_percent == 250);
  CHECK(use.m_machine_age == Millis(200));
  CHECK(MakeUse(upstream, kArrived + kReportLifetime).m_machine_percent == 0);
}

CandidateLoad LoadWithExtra(int online, double extra, bool in_subset) {
  CandidateLoad load;
  load.m_slots = 8;
  load.m_online = online;
  load.m_reported_extra = extra;
  load.m_in_subset = in_subset;
  return load;
}

TEST_CASE("requests of unknown VMs break ties inside the subset only") {
  Random random(1);
  int to_extra = 0;
  for (int i = 0; i < 1'000; ++i) {
    const std::vector<CandidateLoad> fewer = {LoadWithExtra(2, 6, true),
                                              LoadWithExtra(3, 0, true)};
    CHECK(PickUpstream(fewer, random) == 0);
    const std::vector<CandidateLoad> outside = {LoadWithExtra(2, 6, false),
                                                LoadWithExtra(3, 0, false)};
    CHECK(PickUpstream(outside, random) == 1);
    const std::vector<CandidateLoad> tie = {LoadWithExtra(2, 6, true),
                                            LoadWithExtra(2, 0, true)};
    to_extra += PickUpstream(tie, random) == 0 ? 1 : 0;
  }
  CHECK(to_extra < 100);
}

// The cost before there were reports.
std::optional<size_t> PickWithoutReports(std::span<const CandidateLoad> loads,
                                         double mean,
                                         Random& random) {
  std::optional<size_t> best;
  double best_cost = 0;
  for (size_t i = 0; i < loads.size(); ++i) {
    const CandidateLoad& load = loads[i];
    if (load.m_online + std::min(load.m_urgent, load.m_slots / 2) >=
        load.m_slots) {
      continue;
    }
    const double speed = mean / (load.m_work_ms > 0 ? load.m_work_ms : mean);
    const bool preempts = load.m_online + load.m_batch >= load.m_slots;
    double cost = (std::min(load.m_online + load.m_batch, load.m_slots) + 1.0) /
                  (load.m_slots * speed);
    cost += (preempts ? 0.5 : 0) / load.m_slots;
    cost += (load.m_same_zone ? 0 : 0.06) / load.m_slots;
    cost += 0.12 * RandomUnit(random) / load.m_slots;
    if (!best || cost < best_cost) {
      best = i;
      best_cost = cost;
    }
  }
  return best;
}

// Guards against other picks in deployments whose upstreams report nothing.
TEST_CASE("without reports the picks are as they were before") {
  Random random(3);
  Random before(11);
  Random after(11);
  for (int i = 0; i < 5'000; ++i) {
    std::vector<CandidateLoad> loads(48);
    double sum = 0;
    for (CandidateLoad& load : loads) {
      load.m_slots = 8;
      load.m_online = static_cast<int>(RandomBelow(random, 10));
      load.m_batch = static_cast<int>(RandomBelow(random, 4));
      load.m_urgent = static_cast<int>(RandomBelow(random, 3));
      load.m_work_ms = 15 + 40 * RandomUnit(random);
      load.m_same_zone = RandomBelow(random, 3) == 0;
      sum += load.m_work_ms;
    }
    CHECK(PickUpstream(loads, after) ==
          PickWithoutReports(loads, sum / 48, before));
  }
}

}  // namespace
}  // namespace bronzecross
