#include "soak/fault_stream.h"

#include <signal.h>

#include <array>
#include <string_view>

#include "base/random.h"
#include "base/text.h"
#include "soak/placement_checks.h"
#include "soak/soak_placement.h"

namespace bronzecross {
namespace {

// Pause between two faults of one sequence.
constexpr int64_t kShortestPauseMs = 100;
constexpr int64_t kLongestPauseMs = 1'500;

// A graceful stop ends within the drain limit of the settings.
constexpr Millis kStopLimit{9'000};

// A VM that was started again is ready within this.
constexpr Millis kReadyLimit{10'000};

// Longer than the time for which a VM must be undisturbed to be in touch.
constexpr Millis kCalmBeforeEvacuation{4'500};
// How long the bound of an evacuation is exceeded, and the cold time after it.
constexpr Millis kCalmEvacuation = kSoakEvacuateBound + Millis(2'000);
constexpr Millis kCalmReturn{3'500};

// Bounds of the settings that are drawn. The settings name three seeds at most;
// longer lists do no harm.
constexpr int64_t kMaxDrawnSeeds = 6;
constexpr Millis kShortestDrainLimit{6'000};
constexpr Millis kLongestDrainLimit{8'000};
constexpr int64_t kMaxReloadsInSeries = 6;

// A VM asks its seeds in the first moments after its start, unless it knows
// others already.
constexpr Millis kJustStarted{400};

// The first two versions of the configuration are written before the faults.
constexpr int kFirstKeyVersion = 3;

class Draw {
 public:
  explicit Draw(uint64_t seed) : m_random(seed) {}
  int64_t Between(int64_t low, int64_t high) {
    return low + static_cast<int64_t>(RandomBelow(
                     m_random, static_cast<uint64_t>(high - low + 1)));
  }
  void SleepBetween(int64_t low_ms, int64_t high_ms) {
    SleepFor(Millis(Between(low_ms, high_ms)));
  }

 private:
  Random m_random;
};

// Notes a fault while it lives.
class Fault {
 public:
  Fault(SoakLog& log, std::string_view name, FaultPlace place, int target)
      : m_log(log),
        m_index(log.BeginFault(
            {std::string(name), place, target, Millis(), Millis()})) {}
  ~Fault() { m_log.EndFault(m_index); }
  Fault(const Fault&) = delete;
  Fault& operator=(const Fault&) = delete;

 private:
  SoakLog& m_log;
  size_t m_index;
};

size_t Index(int number) {
  return static_cast<size_t>(number);
}

void CheckRuns(SoakWorld& world, int vm) {
  if (!world.m_cluster.Vm(Index(vm)).IsRunning()) {
    world.m_log.AddViolation(Concat("vm-", vm, " ended by itself"));
  }
}

// Waits for a VM that was started. While the store refuses everything it can't
// become ready, which is no violation.
void WaitReady(SoakWorld& world, int vm) {
  const Millis until = MonotonicNow() + kReadyLimit;
  while (!world.m_cluster.IsReady(Index(vm)) && MonotonicNow() < until) {
    SleepFor(Millis(20));
  }
}

void StartAgain(SoakWorld& world, int vm) {
  world.m_cluster.StartVm(Index(vm));
  WaitReady(world, vm);
}

void KillVm(SoakWorld& world, int vm, Draw& draw) {
  const Fault fault(world.m_log, "kill", FaultPlace::kVm, vm);
  CheckRuns(world, vm);
  world.m_cluster.Vm(Index(vm)).Kill();
  draw.SleepBetween(50, 2'000);
  StartAgain(world, vm);
}

void PauseVm(SoakWorld& world, int vm, Draw& draw) {
  const Fault fault(world.m_log, "pause", FaultPlace::kVm, vm);
  CheckRuns(world, vm);
  world.m_cluster.Vm(Index(vm)).Pause();
  draw.SleepBetween(200, 5'000);
  world.m_cluster.Vm(Index(vm)).Resume();
}

void StopVm(SoakWorld& world, int vm, Draw& draw) {
  const Fault fault(world.m_log, "stop", FaultPlace::kVm, vm);
  CheckRuns(world, vm);
  ChildProcess& process = world.m_cluster.Vm(Index(vm));
  process.Signal(SIGTERM);
  const int status = process.Wait(kStopLimit);
  if (status != 0) {
    world.m_log.AddViolation(
        Concat("vm-", vm, " stopped with status ", status));
    process.Kill();
  }
  draw.SleepBetween(0, 1'000);
  StartAgain(world, vm);
}

// Faults on the way between a VM and the store. Bytes that are swallowed can't
// be made up for, so those connections are cut afterwards.
void DisturbStorePath(SoakWorld& world,
                      int vm,
                      std::string_view name,
                      const ProxyFaults& faults,
                      Draw& draw) {
  const Fault fault(world.m_log, name, FaultPlace::kVm, vm);
  FaultProxy& proxy = world.m_cluster.StoreProxy(Index(vm));
  proxy.SetFaults(faults);
  if (faults.m_refuse) {
    proxy.CutAll();
  }
  draw.SleepBetween(300, 5'000);
  proxy.SetFaults(ProxyFaults());
  if (faults.m_drop_forward || faults.m_drop_backward) {
    proxy.CutAll();
  }
}

void StrikeVm(SoakWorld& world, int vm, Draw& draw) {
  ProxyFaults faults;
  switch (draw.Between(0, 9)) {
    case 0:
    case 1:
      KillVm(world, vm, draw);
      break;
    case 2:
      PauseVm(world, vm, draw);
      break;
    case 3:
    case 4:
      StopVm(world, vm, draw);
      break;
    case 5: {
      const Fault fault(world.m_log, "reload", FaultPlace::kVm, vm);
      world.m_cluster.ReloadVm(Index(vm));
      break;
    }
    case 6:
      faults.m_refuse = true;
      DisturbStorePath(world, vm, "store-cut", faults, draw);
      break;
    case 7:
      (draw.Between(0, 1) == 0 ? faults.m_drop_forward
                               : faults.m_drop_backward) = true;
      DisturbStorePath(world, vm, "store-silent", faults, draw);
      break;
    case 8:
      faults.m_delay = Millis(draw.Between(10, 120));
      DisturbStorePath(world, vm, "store-slow", faults, draw);
      break;
    default: {
      const Fault fault(world.m_log, "store-reset", FaultPlace::kVm, vm);
      world.m_cluster.StoreProxy(Index(vm)).CutAll();
      break;
    }
  }
}

void KillAllVms(SoakWorld& world) {
  std::vector<int> claimed;
  for (int vm = 0; vm < world.m_options.m_vms; ++vm) {
    if (world.Claim(FaultPlace::kVm, vm)) {
      claimed.push_back(vm);
    }
  }
  const Fault fault(world.m_log, "kill-all", FaultPlace::kStore, 0);
  for (const int vm : claimed) {
    CheckRuns(world, vm);
    world.m_cluster.Vm(Index(vm)).Signal(SIGKILL);
  }
  for (const int vm : claimed) {
    world.m_cluster.Vm(Index(vm)).Kill();
    world.m_cluster.StartVm(Index(vm));
  }
  for (const int vm : claimed) {
    WaitReady(world, vm);
    world.Release(FaultPlace::kVm, vm);
  }
}

void StrikeStore(SoakWorld& world, int round, Draw& draw) {
  PlatformStoreStandin& store = world.m_cluster.Store();
  PlatformStoreFaults faults;
  switch (draw.Between(0, 7)) {
    case 0: {
      const Fault fault(world.m_log, "refuse", FaultPlace::kStore, 0);
      faults.m_refuse = true;
      store.SetFaults(faults);
      draw.SleepBetween(200, 4'000);
      store.SetFaults(PlatformStoreFaults());
      break;
    }
    case 1:
    case 2: {
      const Fault fault(world.m_log, "lose-replies", FaultPlace::kStore, 0);
      faults.m_lose_replies = static_cast<int>(draw.Between(1, 8));
      store.SetFaults(faults);
      draw.SleepBetween(300, 1'500);
      store.SetFaults(PlatformStoreFaults());
      break;
    }
    case 3: {
      const Fault fault(world.m_log, "drop-history", FaultPlace::kStore, 0);
      store.DropHistory();
      break;
    }
    case 4: {
      const Fault fault(world.m_log, "deaf-watches", FaultPlace::kStore, 0);
      faults.m_deaf_watches = static_cast<int>(draw.Between(1, 3));
      store.SetFaults(faults);
      draw.SleepBetween(300, 3'000);
      store.SetFaults(PlatformStoreFaults());
      break;
    }
    case 5:
      KillAllVms(world);
      break;
    default: {
      const Fault fault(world.m_log, "rotate-key", FaultPlace::kOperator, 0);
      const std::string key = Concat("key-", round);
      world.m_cluster.Operator().PublishKey(round + kFirstKeyVersion, key);
      world.m_log.AddKey(key);
      break;
    }
  }
}

void StrikeEngine(SoakWorld& world, int engine, Draw& draw) {
  PlatformReplicaStandin& replica = world.m_cluster.Engine(Index(engine));
  FaultProxy& proxy = *world.m_engine_proxies[Index(engine)];
  PlatformReplicaFaults faults;
  ProxyFaults path;
  switch (draw.Between(0, 8)) {
    case 0: {
      const Fault fault(world.m_log, "refuse", FaultPlace::kEngine, engine);
      faults.m_refuse = true;
      replica.SetFaults(faults);
      draw.SleepBetween(200, 2'000);
      break;
    }
    case 1:
    case 7:
    case 8: {
      const Fault fault(world.m_log, "cut-answers", FaultPlace::kEngine,
                        engine);
      faults.m_break_after = static_cast<int>(draw.Between(0, kSoakEvents - 1));
      faults.m_breaks_left = static_cast<int>(draw.Between(1, 10));
      replica.SetFaults(faults);
      draw.SleepBetween(200, 2'000);
      break;
    }
    case 2: {
      const Fault fault(world.m_log, "silent", FaultPlace::kEngine, engine);
      faults.m_silent = true;
      replica.SetFaults(faults);
      draw.SleepBetween(200, 1'500);
      break;
    }
    case 3: {
      const Fault fault(world.m_log, "reset", FaultPlace::kEngine, engine);
      proxy.CutAll();
      break;
    }
    case 4: {
      const Fault fault(world.m_log, "dark", FaultPlace::kEngine, engine);
      path.m_drop_forward = draw.Between(0, 1) == 0;
      path.m_drop_backward = true;
      proxy.SetFaults(path);
      draw.SleepBetween(300, 3'000);
      proxy.CutAll();
      break;
    }
    case 5: {
      const Fault fault(world.m_log, "slow", FaultPlace::kEngine, engine);
      path.m_delay = Millis(draw.Between(5, 60));
      proxy.SetFaults(path);
      draw.SleepBetween(300, 3'000);
      break;
    }
    default: {
      const Fault fault(world.m_log, "leave", FaultPlace::kEngine, engine);
      replica.Register("draining");
      draw.SleepBetween(1'500, 5'000);
      replica.Unregister();
      draw.SleepBetween(100, 1'500);
      break;
    }
  }
  replica.SetFaults(PlatformReplicaFaults());
  proxy.SetFaults(ProxyFaults());
  replica.Register("ready");
}

// Stale addresses, one that never replies, and VMs, in any number and order.
std::vector<std::string> DrawSeeds(SoakWorld& world, Draw& draw) {
  std::vector<std::string> seeds;
  for (int64_t count = draw.Between(0, kMaxDrawnSeeds); count > 0; --count) {
    switch (draw.Between(0, 2)) {
      case 0:
        seeds.push_back(world.m_silent_seed.Address().ToString());
        break;
      case 1:
        seeds.emplace_back("127.0.0.1:9");
        break;
      default:
        seeds.push_back(world.m_cluster
                            .BootstrapAddress(Index(static_cast<int>(
                                draw.Between(0, world.m_options.m_vms - 1))))
                            .ToString());
        break;
    }
  }
  return seeds;
}

// Waits until `until`, or for a VM that was started after `since`. Returns the
// VM, or -1 if none was.
int WaitForStart(SoakWorld& world, Millis since, Millis until) {
  for (; MonotonicNow() < until; SleepFor(Millis(5))) {
    for (int vm = 0; vm < world.m_options.m_vms; ++vm) {
      const Millis launched = world.m_cluster.LaunchedAt(Index(vm));
      if (launched > since && MonotonicNow() - launched < kJustStarted) {
        return vm;
      }
    }
  }
  return -1;
}

void RestoreSettings(SoakWorld& world, int vm) {
  world.m_cluster.SetSeeds(Index(vm),
                           {world.m_cluster.BootstrapAddress(0).ToString()});
  world.m_cluster.SetDrainLimit(Index(vm), kLongestDrainLimit);
  world.m_cluster.ReloadVm(Index(vm));
}

// The span begins once the evacuation is acknowledged, and ends before its
// withdrawal is written.
template <typename Wait>
void EvacuateDuring(SoakWorld& world, Draw& draw, const Wait& wait) {
  const int zone = ZoneIndexOf(
      static_cast<int>(draw.Between(0, world.m_options.m_engines - 1)));
  const std::string name = SoakZones()[Index(zone)];
  world.m_cluster.Operator().Evacuate(name);
  {
    const Fault fault(world.m_log, kEvacuateFault, FaultPlace::kOperator, zone);
    wait();
  }
  world.m_cluster.Operator().WithdrawEvacuation(name);
}

}  // namespace

void RunVmFaults(SoakWorld& world, uint64_t seed, Millis until) {
  Draw draw(seed);
  while (MonotonicNow() < until) {
    draw.SleepBetween(kShortestPauseMs, kLongestPauseMs);
    const int vm = static_cast<int>(draw.Between(0, world.m_options.m_vms - 1));
    if (world.Claim(FaultPlace::kVm, vm)) {
      StrikeVm(world, vm, draw);
      world.Release(FaultPlace::kVm, vm);
    }
  }
}

void RunStoreFaults(SoakWorld& world, uint64_t seed, Millis until) {
  Draw draw(seed);
  for (int round = 0; MonotonicNow() < until; ++round) {
    draw.SleepBetween(kShortestPauseMs, kLongestPauseMs);
    StrikeStore(world, round, draw);
  }
}

void RunEngineFaults(SoakWorld& world, uint64_t seed, Millis until) {
  Draw draw(seed);
  while (MonotonicNow() < until) {
    draw.SleepBetween(kShortestPauseMs, kLongestPauseMs);
    StrikeEngine(
        world, static_cast<int>(draw.Between(0, world.m_options.m_engines - 1)),
        draw);
  }
}

void RunEvacuations(SoakWorld& world, uint64_t seed, Millis until) {
  Draw draw(seed);
  while (MonotonicNow() < until) {
    draw.SleepBetween(kShortestPauseMs, kLongestPauseMs);
    EvacuateDuring(world, draw, [&draw] { draw.SleepBetween(500, 9'000); });
  }
}

void RunReloads(SoakWorld& world, uint64_t seed, Millis until) {
  Draw draw(seed);
  Millis since = MonotonicNow();
  while (MonotonicNow() < until) {
    const Millis pause(draw.Between(kShortestPauseMs, kLongestPauseMs));
    const int drawn =
        static_cast<int>(draw.Between(0, world.m_options.m_vms - 1));
    const int started = WaitForStart(world, since, MonotonicNow() + pause);
    const int vm = started >= 0 ? started : drawn;
    since = MonotonicNow();
    for (int64_t left = draw.Between(1, kMaxReloadsInSeries); left > 0;
         --left) {
      // A VM that another sequence starts meanwhile needs its settings.
      if (draw.Between(0, 3) == 0 && world.Claim(FaultPlace::kVm, vm)) {
        world.m_cluster.ReloadVmFrom(Index(vm), "[vm");
        draw.SleepBetween(0, 200);
        RestoreSettings(world, vm);
        world.Release(FaultPlace::kVm, vm);
        continue;
      }
      world.m_cluster.SetSeeds(Index(vm), DrawSeeds(world, draw));
      world.m_cluster.SetDrainLimit(
          Index(vm), Millis(draw.Between(kShortestDrainLimit.count(),
                                         kLongestDrainLimit.count())));
      world.m_cluster.ReloadVm(Index(vm));
      draw.SleepBetween(0, 400);
    }
  }
  for (int vm = 0; vm < world.m_options.m_vms; ++vm) {
    RestoreSettings(world, vm);
  }
}

void EvacuateUndisturbed(SoakWorld& world, uint64_t seed) {
  Draw draw(seed);
  SleepFor(kCalmBeforeEvacuation);
  EvacuateDuring(world, draw, [] { SleepFor(kCalmEvacuation); });
  SleepFor(kCalmReturn);
}

}  // namespace bronzecross
