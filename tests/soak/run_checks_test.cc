// Guards against a soak that can't see a broken promise: each case plants one.

#include <doctest/doctest.h>

#include "soak/placement_checks.h"
#include "soak/run_checks.h"
#include "soak/soak_placement.h"

namespace bronzecross {
namespace {

constexpr double kRate = 10;
constexpr double kBurst = 5;

SoakCall MakeCall(const std::string& id, RouteUse use) {
  SoakCall call;
  call.m_id = id;
  call.m_use = use;
  call.m_key = "key-b";
  call.m_sent = Millis(20'000);
  call.m_ended = Millis(20'050);
  call.m_end = CallEnd::kAnswered;
  call.m_status = 200;
  return call;
}

SeenRun MakeRun(const std::string& id) {
  SeenRun seen;
  seen.m_run.m_request_id = id;
  seen.m_run.m_at = Millis(20'010);
  seen.m_run.m_body = "question";
  seen.m_run.m_workspace = "ws-b";
  seen.m_run.m_deadline_ms = 3'900;
  return seen;
}

size_t CountBroken(const SoakHistory& history) {
  return FindBrokenPromises(history, kRate, kBurst).size();
}

TEST_CASE("a call that ran once and was answered breaks nothing") {
  SoakHistory history;
  history.m_calls = {MakeCall("a", RouteUse::kOnce)};
  history.m_runs = {MakeRun("a")};
  CHECK(CountBroken(history) == 0);
}

TEST_CASE("runs that are repeated, refused or unasked are seen") {
  SoakHistory history;
  history.m_calls = {MakeCall("a", RouteUse::kOnce)};
  history.m_runs = {MakeRun("a"), MakeRun("a")};
  CHECK(CountBroken(history) == 1);
  history.m_calls[0].m_use = RouteUse::kPlain;
  CHECK(CountBroken(history) == 0);
  history.m_runs.resize(1);
  history.m_calls[0].m_use = RouteUse::kStream;
  history.m_calls[0].m_status = 503;
  CHECK(CountBroken(history) == 1);
  history.m_calls.clear();
  CHECK(CountBroken(history) == 1);
}

TEST_CASE("keys that are passed on, unknown or withdrawn are seen") {
  SoakHistory history;
  history.m_calls = {MakeCall("a", RouteUse::kPlain)};
  history.m_runs = {MakeRun("a")};
  history.m_runs[0].m_run.m_authorization = "Bearer key-b";
  CHECK(CountBroken(history) == 1);
  history.m_runs[0] = MakeRun("a");
  history.m_runs[0].m_run.m_workspace = "ws-a";
  history.m_calls[0].m_key = "key-a";
  history.m_keys = {{"key-a", Millis(1'000)}, {"key-1", Millis(10'000)}};
  CHECK(CountBroken(history) == 1);
  // The VM was cut off when the key was withdrawn.
  history.m_faults = {
      {"store-cut", FaultPlace::kVm, 0, Millis(9'000), Millis(12'000)}};
  CHECK(CountBroken(history) == 0);
  history.m_faults[0].m_target = 1;
  CHECK(CountBroken(history) == 1);
  history.m_calls[0].m_key = "key-unknown";
  CHECK(CountBroken(history) == 1);
}

TEST_CASE("a workspace over its rate is seen") {
  SoakHistory history;
  for (int i = 0; i < 100; ++i) {
    const std::string id = "a" + std::to_string(i);
    history.m_calls.push_back(MakeCall(id, RouteUse::kPlain));
    history.m_calls.back().m_key = "key-a";
    history.m_runs.push_back(MakeRun(id));
    history.m_runs.back().m_run.m_workspace = "ws-a";
  }
  CHECK(CountBroken(history) == 1);
  history.m_calls.resize(70);
  history.m_runs.resize(70);
  CHECK(CountBroken(history) == 0);
}

TEST_CASE("a request that a planned stop cuts is seen") {
  SoakHistory history;
  history.m_calls = {MakeCall("a", RouteUse::kStream)};
  history.m_calls[0].m_end = CallEnd::kBroken;
  history.m_calls[0].m_status = 0;
  history.m_runs = {MakeRun("a")};
  CHECK(CountBroken(history) == 0);
  history.m_faults = {
      {"stop", FaultPlace::kVm, 0, Millis(19'000), Millis(24'000)}};
  CHECK(CountBroken(history) == 1);
  // An upstream's fault at the same time excuses it.
  history.m_faults.push_back(
      {"reset", FaultPlace::kEngine, 0, Millis(20'000), Millis(20'001)});
  CHECK(CountBroken(history) == 0);
}

TEST_CASE("jobs that run after a refusal or their end are seen") {
  SoakHistory history;
  SoakJob job;
  job.m_id = "j";
  job.m_items = 2;
  history.m_jobs = {job};
  history.m_runs = {MakeRun("j-item-1")};
  CHECK(CountBroken(history) == 1);
  history.m_jobs[0].m_accepted = true;
  CHECK(CountBroken(history) == 0);
  history.m_jobs[0].m_end_acknowledged = Millis(15'000);
  CHECK(CountBroken(history) == 1);
}

TEST_CASE("an upstream that gets requests while it leaves is seen") {
  SoakHistory history;
  history.m_calls = {MakeCall("a", RouteUse::kPlain)};
  history.m_runs = {MakeRun("a")};
  history.m_faults = {
      {"leave", FaultPlace::kEngine, 0, Millis(16'000), Millis(22'000)}};
  CHECK(CountBroken(history) == 1);
  history.m_faults[0].m_from = Millis(19'000);
  CHECK(CountBroken(history) == 0);
}

TEST_CASE("a request to an evacuated zone is seen") {
  SoakHistory history;
  history.m_calls = {MakeCall("a", RouteUse::kPlain)};
  history.m_runs = {MakeRun("a")};
  history.m_faults = {{kEvacuateFault, FaultPlace::kOperator, 0, Millis(15'000),
                       Millis(22'000)}};
  CHECK(CountBroken(history) == 1);
  // An engine of another zone, one of the same zone.
  history.m_runs[0].m_engine = 1;
  CHECK(CountBroken(history) == 0);
  history.m_runs[0].m_engine = static_cast<int>(SoakZones().size());
  CHECK(CountBroken(history) == 1);
  // Withdrawn before, and within the bound.
  history.m_faults[0].m_to = Millis(20'000);
  CHECK(CountBroken(history) == 0);
  history.m_faults[0].m_to = Millis(22'000);
  history.m_faults[0].m_from = Millis(15'011);
  CHECK(CountBroken(history) == 0);
}

TEST_CASE("only a disturbed VM is excused from an evacuation") {
  SoakHistory history;
  history.m_calls = {MakeCall("a", RouteUse::kPlain)};
  history.m_runs = {MakeRun("a")};
  history.m_faults = {
      {kEvacuateFault, FaultPlace::kOperator, 0, Millis(15'000),
       Millis(22'000)},
      {"pause", FaultPlace::kVm, 0, Millis(9'000), Millis(11'500)}};
  CHECK(CountBroken(history) == 0);
  history.m_faults[1].m_to = Millis(10'900);
  CHECK(CountBroken(history) == 1);
  history.m_faults[1] = {"pause", FaultPlace::kVm, 1, Millis(16'000),
                         Millis(17'000)};
  CHECK(CountBroken(history) == 1);
  history.m_faults[1] = {"refuse", FaultPlace::kStore, 0, Millis(16'000),
                         Millis(17'000)};
  CHECK(CountBroken(history) == 0);
  history.m_faults.pop_back();
  // The VM that sent an item isn't known.
  history.m_calls.clear();
  SoakJob job;
  job.m_id = "j";
  job.m_items = 1;
  job.m_accepted = true;
  history.m_jobs = {job};
  history.m_runs = {MakeRun("j-item-0")};
  CHECK(CountBroken(history) == 1);
  history.m_faults.push_back(
      {"pause", FaultPlace::kVm, 1, Millis(16'000), Millis(17'000)});
  CHECK(CountBroken(history) == 0);
}

// Requests at engine 0 in every 50 ms, from the return of its zone at 20 s.
SoakHistory MakeReturn(int requests) {
  SoakHistory history;
  for (int i = 0; i < requests; ++i) {
    const std::string id = "a" + std::to_string(i);
    history.m_calls.push_back(MakeCall(id, RouteUse::kPlain));
    history.m_runs.push_back(MakeRun(id));
    history.m_runs.back().m_run.m_at = Millis(20'000 + i * int64_t{50});
  }
  history.m_faults = {{kEvacuateFault, FaultPlace::kOperator, 0, Millis(14'000),
                       Millis(20'000)}};
  return history;
}

TEST_CASE("a cold engine over its bound is seen") {
  const int bound = static_cast<int>(kSoakColdBound);
  CHECK(CountBroken(MakeReturn(bound)) == 0);
  CHECK(CountBroken(MakeReturn(bound + 1)) == 1);
  SoakHistory history = MakeReturn(bound + 1);
  // Beyond one window, and after the cold time.
  history.m_runs.back().m_run.m_at = Millis(21'000);
  CHECK(CountBroken(history) == 0);
  history = MakeReturn(bound + 1);
  for (SeenRun& seen : history.m_runs) {
    seen.m_run.m_at += Millis(3'000);
  }
  CHECK(CountBroken(history) == 0);
}

TEST_CASE("only disturbance excuses requests at a cold engine") {
  const int over = static_cast<int>(kSoakColdBound) + 1;
  SoakHistory history = MakeReturn(over);
  // The engine itself, another one, and a VM that sent one of the requests.
  history.m_faults.push_back(
      {"slow", FaultPlace::kEngine, 0, Millis(19'000), Millis(20'500)});
  CHECK(CountBroken(history) == 0);
  history.m_faults[1].m_target = 1;
  CHECK(CountBroken(history) == 1);
  history.m_calls[0].m_vm = 1;
  history.m_faults[1] = {"pause", FaultPlace::kVm, 1, Millis(16'000),
                         Millis(17'000)};
  CHECK(CountBroken(history) == 0);
  history.m_faults.pop_back();
  CHECK(CountBroken(history) == 1);
  // An evacuation that VMs need not have learned of.
  history.m_faults[0].m_from = Millis(15'500);
  CHECK(CountBroken(history) == 0);
}

}  // namespace
}  // namespace bronzecross
