// Case 12: reads of a finished batch job after its route was removed, at a
// gateway that has started since.

#include <signal.h>

#include <cstdio>

#include "base/text.h"
#include "standins/platform_caller.h"
#include "world.h"

namespace review {
namespace {

using bronzecross::Concat;
using bronzecross::Millis;
using bronzecross::SleepFor;
using nlohmann::json;

constexpr int kGateways = 3;
constexpr int kStartedLater = 2;  // edge-3
constexpr int kItems = 5;
constexpr int kReads = 10;

// Time within which a configuration is in force, and that a machine needs to
// be in touch.
constexpr Millis kSettled{6'000};

bool IsWholeListing(const Answer& answer) {
  const json body = json::parse(answer.m_body, nullptr, false);
  return answer.m_status == 200 && body.is_object() &&
         body.value("total", -1) == kItems && body.value("next", -1) == kItems;
}

int Run() {
  Record record("review/12/record.txt");
  World world(kGateways, record);
  json site = MakeRoute("site", "/", "idempotent");
  json batch = MakeRoute("batch", "/batch/", "bulk");
  batch["dueMs"] = 20'000;
  batch["retentionS"] = 60;
  batch["cap"] = 1'000'000;
  world.Publish(1, {site, batch});
  for (int i = 0; i < 4; ++i) {
    world.AddReplica(Concat("i-", i), 10, 10);
  }
  for (int i = 0; i < kGateways; ++i) {
    world.SetSeeds(i, {world.ControlAddress(0), world.ControlAddress(1),
                       world.ControlAddress(2)});
    world.Start(i);
  }
  for (int i = 0; i < kGateways; ++i) {
    if (!world.WaitReady(i)) {
      return kCouldNotRun;
    }
  }
  const std::string job = "job-1";
  const Answer accepted = world.Call(0, "POST", "/batch/submit", job,
                                     bronzecross::PlatformJobBody(job, kItems));
  record.Add(Concat("client: batch job ", job, " of ", kItems,
                    " items at edge-1: ", accepted.m_status));
  if (accepted.m_status != 202) {
    return kCouldNotRun;
  }
  Answer listing;
  for (int i = 0; i < 60 && !IsWholeListing(listing); ++i) {
    SleepFor(Millis(250));
    listing = world.Call(1, "GET", bronzecross::PlatformResultsPath(job),
                         Concat("read-", i), "");
  }
  record.Add(Concat("client: read at edge-2: ", listing.m_status, " ",
                    listing.m_body));
  if (!IsWholeListing(listing)) {
    return kCouldNotRun;
  }
  if (HasTrouble()) {
    world.Publish(2, json::array({site}));
  }
  // The machine that starts is part of both runs. The gateways tell each other
  // of a finished job for some seconds.
  SleepFor(Millis(4'000));
  world.Process(kStartedLater).Signal(SIGTERM);
  record.Add("platform: SIGTERM to edge-3");
  if (world.Process(kStartedLater).Wait(Millis(10'000)) != 0) {
    return kCouldNotRun;
  }
  world.Start(kStartedLater);
  if (!world.WaitReady(kStartedLater)) {
    return kCouldNotRun;
  }
  SleepFor(kSettled);
  int wrong = 0;
  for (int gateway = 0; gateway < kGateways; ++gateway) {
    for (int i = 0; i < kReads; ++i) {
      const std::string id = Concat("later-", gateway + 1, "-", i);
      const Answer again = world.Call(
          gateway, "GET", bronzecross::PlatformResultsPath(job), id, "");
      const bool is_same =
          again.m_status == 200 && again.m_body == listing.m_body;
      wrong += is_same ? 0 : 1;
      record.Add(Concat("client: ", id, " read at edge-", gateway + 1, ": ",
                        again.m_status, is_same ? " the same results" : " ",
                        is_same ? "" : again.m_body, " stamp \"", again.m_stamp,
                        "\""));
    }
  }
  int ran = 0;
  for (const bronzecross::ReplicaRun& run : world.Runs()) {
    if (run.m_path.starts_with("/api/")) {
      ++ran;
      record.Add(Concat("replica: ran ", run.m_request_id, " ", run.m_path));
    }
  }
  record.Add(Concat(wrong, " of ", kGateways * kReads,
                    " reads didn't give the results again; replicas ran ", ran,
                    " of them"));
  return wrong > 0 || ran > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main() {
  const int result = review::Run();
  std::printf("%s\n", result == review::kHeld     ? "held"
                      : result == review::kBroken ? "BROKEN"
                                                  : "could not run");
  return result;
}
