// Case 14: many callers ask the same question while two of fourteen replicas
// crash, four times; later all replicas are sound.

#include <atomic>
#include <cstdio>
#include <mutex>
#include <thread>

#include "base/text.h"
#include "world.h"

namespace review {
namespace {

using bronzecross::Concat;
using bronzecross::Millis;
using bronzecross::MonotonicNow;
using bronzecross::SleepFor;
using nlohmann::json;

// As on the smaller site: 8 gateways, 14 replicas with 8 slots.
constexpr int kGateways = 8;
constexpr int kReplicas = 14;
constexpr int kCrashed = 2;  // of 14: a share of 0.14, of 0.17 allowed
constexpr int kCrashes = 4;
constexpr Millis kDown{4'500};
constexpr Millis kUpBetween{500};
constexpr int kEvents = 60;
constexpr int kGapMs = 115;  // a stream takes 6.9 s

// Time between two requests of a kind at each gateway.
constexpr Millis kHotPause{800};
constexpr Millis kOtherPause{80};

constexpr Millis kBefore{7'000};
constexpr Millis kAfter{80'000};
// From the return of the replicas until all must be served as before.
constexpr Millis kRecovery{12'000};

struct Outcome {
  Millis m_sent;
  bool m_is_hot = false;
  int m_status = 0;
};

struct Load {
  std::mutex m_mutex;
  std::vector<Outcome> m_outcomes;
  std::vector<std::thread> m_requests;
  std::atomic<bool> m_stop = false;
};

// Sends requests at a fixed rate, whatever becomes of the earlier ones.
void RunCallers(World& world, Load& load, int gateway, bool is_hot) {
  const Millis pause = is_hot ? kHotPause : kOtherPause;
  Millis next = MonotonicNow() + Millis(gateway * 50);
  for (int i = 0; !load.m_stop; ++i) {
    SleepFor(next - MonotonicNow());
    next += pause;
    const std::string id =
        Concat(is_hot ? "hot-" : "other-", gateway + 1, "-", i);
    std::thread request([&world, &load, gateway, is_hot, id] {
      const Millis sent = MonotonicNow();
      // All requests of the first kind are alike: one path, caller and body.
      const Answer answer = world.Call(
          gateway, "POST", is_hot ? "/faq/stream" : "/desk/receipt", id,
          is_hot ? "When do you open?" : Concat("receipt of ", id));
      if (is_hot || answer.m_status != 200) {
        world.Log().Add(Concat("client: ", id, " at edge-", gateway + 1, ": ",
                               answer.m_status, " ", answer.m_error));
      }
      const std::lock_guard<std::mutex> lock(load.m_mutex);
      load.m_outcomes.push_back({sent, is_hot, answer.m_status});
    });
    const std::lock_guard<std::mutex> lock(load.m_mutex);
    load.m_requests.push_back(std::move(request));
  }
}

struct Count {
  int m_asked = 0;
  int m_served = 0;
};

Count CountFrom(const Load& load, bool is_hot, Millis from, Millis to) {
  Count count;
  for (const Outcome& outcome : load.m_outcomes) {
    if (outcome.m_is_hot == is_hot && outcome.m_sent >= from &&
        outcome.m_sent < to) {
      ++count.m_asked;
      count.m_served += outcome.m_status == 200 ? 1 : 0;
    }
  }
  return count;
}

int Run() {
  Record record("review/14/record.txt");
  World world(kGateways, record);
  world.Publish(1, {MakeRoute("faq", "/faq/", "streaming"),
                    MakeRoute("desk", "/desk/", "idempotent")});
  for (int i = 0; i < kReplicas; ++i) {
    world.AddReplica(Concat("i-", i), kEvents, kGapMs);
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
  Load load;
  std::vector<std::thread> callers;
  const Millis began = MonotonicNow();
  for (int i = 0; i < kGateways; ++i) {
    callers.emplace_back([&, i] { RunCallers(world, load, i, true); });
    callers.emplace_back([&, i] { RunCallers(world, load, i, false); });
  }
  SleepFor(kBefore);
  const Millis crashed = MonotonicNow();
  for (int crash = 0; crash < kCrashes; ++crash) {
    SleepFor(crash == 0 ? Millis() : kUpBetween);
    for (int i = 0; HasTrouble() && i < kCrashed; ++i) {
      world.CrashReplica(kCrashed * crash + i);
    }
    SleepFor(kDown);
    for (int i = 0; HasTrouble() && i < kCrashed; ++i) {
      world.RestartReplica(kCrashed * crash + i, kEvents, kGapMs);
    }
  }
  const Millis back = MonotonicNow();
  SleepFor(kAfter);
  load.m_stop = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (std::thread& request : load.m_requests) {
    request.join();
  }
  const Millis end = MonotonicNow();
  const auto report = [&](const char* span, Millis from, Millis to) {
    const Count hot = CountFrom(load, true, from, to);
    const Count other = CountFrom(load, false, from, to);
    record.Add(Concat(span, ": of the equal requests ", hot.m_served, " of ",
                      hot.m_asked, " served, of the others ", other.m_served,
                      " of ", other.m_asked));
  };
  report("before", began, crashed);
  report("while replicas crash", crashed, back);
  report("up to 12 s after their return", back, back + kRecovery);
  report("later", back + kRecovery, end);
  report("the whole day", began, end);
  const Count before = CountFrom(load, true, began, crashed);
  const Count hot = CountFrom(load, true, began, end);
  const Count other = CountFrom(load, false, began, end);
  if (before.m_served * 10 < before.m_asked * 5 || hot.m_asked == 0) {
    return kCouldNotRun;
  }
  const double hot_share = static_cast<double>(hot.m_served) / hot.m_asked;
  const double all_share = static_cast<double>(hot.m_served + other.m_served) /
                           (hot.m_asked + other.m_asked);
  record.Add(Concat("share served: ", hot_share, " of this kind, ", all_share,
                    " of all"));
  return hot_share < all_share / 4 ? kBroken : kHeld;
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
