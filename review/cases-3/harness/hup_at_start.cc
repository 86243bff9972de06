// Case 15: a gateway that is starting gets SIGHUP.

#include <signal.h>

#include <cstdio>
#include <random>

#include "base/text.h"
#include "world.h"

namespace review {
namespace {

using bronzecross::Concat;
using bronzecross::Millis;
using bronzecross::SleepFor;
using nlohmann::json;

constexpr int kGateways = 3;
constexpr int kStarts = 36;
constexpr int kLatestHupMs = 40;
constexpr Millis kWatched{300};
constexpr int kSeed = 46;

int Run() {
  Record record("review/15/record.txt");
  World world(kGateways, record);
  world.Publish(1, json::array({MakeRoute("ask", "/ask/", "streaming")}));
  world.AddReplica("i-0", 5, 5);
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
  std::mt19937 random(kSeed);
  std::uniform_int_distribution<int> hup_after(0, kLatestHupMs);
  int ended = 0;
  for (int start = 0; start < kStarts; ++start) {
    const int gateway = start % kGateways;
    world.Process(gateway).Kill();
    world.Start(gateway);
    const int wait = hup_after(random);
    SleepFor(Millis(wait));
    if (HasTrouble()) {
      world.WriteSettings(gateway);
      world.Process(gateway).Signal(SIGHUP);
    }
    const int status = world.Process(gateway).Wait(kWatched);
    record.Add(Concat(
        "edge-", gateway + 1, ": ",
        HasTrouble() ? Concat("SIGHUP ", wait, " ms after its start, ") : "",
        status == -1 ? "runs"
                     : Concat("has ended by itself, status ", status,
                              " (128 + signal)")));
    ended += status == -1 ? 0 : 1;
    if (status != -1) {
      world.Start(gateway);
    }
    if (!world.WaitReady(gateway)) {
      return kCouldNotRun;
    }
  }
  record.Add(Concat(ended, " of ", kStarts, " starts ended by themselves"));
  return ended > 0 ? kBroken : kHeld;
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
