// The store turns one VM away and loses the answer to a write that another VM
// carries for it; then it is down. The VM answers its client with 503, and the
// store carries the write out later.

#include <thread>
#include <vector>

#include "base/text.h"
#include "world.hpp"

namespace review {
namespace {

using bronzecross::Concat;
using bronzecross::MonotonicNow;
using bronzecross::SleepFor;
using nlohmann::json;

constexpr int kItems = 2;
constexpr int kEvents = 10;
constexpr Millis kStartupScans{12'000};
constexpr Millis kTurnedAwayBefore{1'000};
constexpr Millis kDownAfter{600};
constexpr Millis kDownFor{4'500};
constexpr Millis kLateBy{5'800};
constexpr Millis kObserve{20'000};

// Waits until a VM lists the open jobs; returns it, or -1. That VM looks at
// jobs that nobody has announced.
int WaitForScan(World& world) {
  std::vector<int> before;
  for (int vm = 0; vm < world.VmCount(); ++vm) {
    before.push_back(world.TheStore().CountRanges(vm, "bx/open/"));
  }
  const Millis until = MonotonicNow() + Millis(15'000);
  while (MonotonicNow() < until) {
    for (int vm = 0; vm < world.VmCount(); ++vm) {
      if (world.TheStore().CountRanges(vm, "bx/open/") > before[vm]) {
        return vm;
      }
    }
    SleepFor(Millis(2));
  }
  return -1;
}

int Play() {
  WorldOptions options;
  World world(options);
  SleepFor(kStartupScans);
  const int first = WaitForScan(world);
  if (first < 0) {
    return CannotRun("no VM lists the open jobs");
  }
  StoreFaults busy;
  busy.m_busy = true;
  StoreFaults late;
  late.m_late_write = kLateBy;
  late.m_late_key = "/job0/";
  if (HasTrouble()) {
    world.TheStore().SetFaults(first, busy);
    TheRecord().Line("store", Concat("turns vm-", first, " away with 503"));
    SleepFor(kTurnedAwayBefore);
    for (int vm = 0; vm < options.m_vms; ++vm) {
      if (vm != first) {
        world.TheStore().SetFaults(vm, late);
      }
    }
    TheRecord().Line("store",
                     "does one of three writes late and does not answer it");
  }
  // Two other clients, whose jobs are accepted.
  std::vector<std::thread> others;
  std::vector<int> accepted(2, 0);
  for (int i = 0; i < 2; ++i) {
    others.emplace_back([&, i] {
      accepted[i] = world.Submit((first + 1 + i) % options.m_vms,
                                 Concat("other", i), kItems, kEvents);
    });
  }
  // The client asks until its 4 s are over, each time at another VM.
  std::vector<int> statuses;
  const Millis give_up = MonotonicNow() + Millis(4'000);
  std::thread client([&] {
    for (int attempt = 0; attempt < 4; ++attempt) {
      const Millis left = give_up - MonotonicNow();
      if (left < Millis(500)) {
        return;
      }
      statuses.push_back(world.Submit((first + attempt) % options.m_vms, "job0",
                                      kItems, kEvents, left));
      if (statuses.back() == 202) {
        return;
      }
      SleepFor(Millis(500));  // Retry-After
    }
  });
  SleepFor(kDownAfter);
  if (HasTrouble()) {
    world.TheStore().SetFaultsOfAll(busy);
    TheRecord().Line("store", "is down: answers 503");
  }
  SleepFor(kDownFor);
  world.TheStore().SetFaultsOfAll(StoreFaults());
  TheRecord().Line("store", "is up");
  client.join();
  for (std::thread& other : others) {
    other.join();
  }
  SleepFor(kObserve);
  if (accepted[0] != 202 || accepted[1] != 202) {
    return CannotRun("the other clients' jobs were not accepted");
  }
  for (const int status : statuses) {
    if (status == 202) {
      return Verdict(true, "the job was accepted");
    }
    if (status != 429 && status != 503) {
      return CannotRun(Concat("an attempt was answered with ", status));
    }
  }
  const size_t runs = world.RunsOf("job0").size();
  return Verdict(runs == 0, Concat("all ", statuses.size(),
                                   " attempts were answered with 503, and ",
                                   runs, " runs of items of the job followed"));
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, &review::Play);
}
