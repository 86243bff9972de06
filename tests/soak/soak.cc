#include "soak/soak.h"

#include <algorithm>
#include <functional>
#include <thread>

#include <absl/synchronization/blocking_counter.h>
#include <absl/synchronization/notification.h>

#include "base/text.h"
#include "soak/fault_stream.h"
#include "soak/job_callers.h"
#include "soak/online_callers.h"
#include "soak/run_checks.h"
#include "soak/soak_placement.h"

namespace bronzecross {
namespace {

// After the faults every VM serves again, and every job ends, within these.
constexpr Millis kServeLimit{15'000};
constexpr Millis kJobLimit{40'000};

// Sequences of VM faults and of engine faults that run side by side.
constexpr size_t kVmStreams = 2;
constexpr size_t kEngineStreams = 2;

// Seeds that one soak derives from its own; the last one is that of the
// evacuation after the faults.
constexpr uint64_t kSeedsPerSoak = 10;

// Time for which all runs well before the faults and after them.
constexpr Millis kCalm{500};

GatewayClusterOptions ClusterOptionsOf(const SoakOptions& options) {
  GatewayClusterOptions cluster;
  cluster.m_vms = options.m_vms;
  cluster.m_engines = options.m_engines;
  cluster.m_engine.m_events = kSoakEvents;
  cluster.m_engine.m_event_gap = Millis(20);
  cluster.m_rate_per_s = kSoakRatePerS;
  cluster.m_burst = kSoakBurst;
  cluster.m_store_proxies = true;
  cluster.m_engine_zones = SoakZones();
  cluster.m_vm_zones = SoakZones();
  cluster.m_placement =
      Concat("evacuate_ms = ", kSoakEvacuateBound.count(), "\n");
  return cluster;
}

void PutProxiesBeforeEngines(SoakWorld& world) {
  for (int i = 0; i < world.m_options.m_engines; ++i) {
    PlatformReplicaStandin& engine =
        world.m_cluster.Engine(static_cast<size_t>(i));
    world.m_engine_proxies.push_back(
        std::make_unique<FaultProxy>(engine.Address()));
    engine.SetListedAddress(world.m_engine_proxies.back()->Address());
    engine.Register("ready");
  }
}

// The threads that inject faults. A process is killed when the thread that
// started it ends, so they stay until the soak is over.
class FaultThreads {
 public:
  using Stream = void (*)(SoakWorld&, uint64_t, Millis);

  explicit FaultThreads(SoakWorld& world) : m_world(world) {}
  ~FaultThreads() {
    m_over.Notify();
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }
  FaultThreads(const FaultThreads&) = delete;
  FaultThreads& operator=(const FaultThreads&) = delete;

  // Returns when the faults of all sequences have ended.
  void Run() {
    const Millis until = MonotonicNow() + m_world.m_options.m_length;
    std::vector<Stream> streams(kVmStreams, RunVmFaults);
    streams.insert(streams.end(), kEngineStreams, RunEngineFaults);
    streams.push_back(RunStoreFaults);
    streams.push_back(RunEvacuations);
    streams.push_back(RunReloads);
    absl::BlockingCounter running(static_cast<int>(streams.size()));
    uint64_t seed = m_world.m_options.m_seed * kSeedsPerSoak;
    for (const Stream stream : streams) {
      m_threads.emplace_back([this, stream, seed, until, &running] {
        stream(m_world, seed, until);
        running.DecrementCount();
        m_over.WaitForNotification();
      });
      ++seed;
    }
    running.Wait();
  }

 private:
  SoakWorld& m_world;
  absl::Notification m_over;
  std::vector<std::thread> m_threads;
};

SoakHistory MakeHistory(const SoakWorld& world, std::vector<SoakJob> jobs) {
  SoakHistory history;
  history.m_calls = world.m_log.Calls();
  history.m_faults = world.m_log.Faults();
  history.m_keys = world.m_log.Keys();
  history.m_jobs = std::move(jobs);
  for (int i = 0; i < world.m_options.m_engines; ++i) {
    for (ReplicaRun& run :
         world.m_cluster.Engine(static_cast<size_t>(i)).Runs()) {
      history.m_runs.push_back({i, std::move(run)});
    }
  }
  return history;
}

}  // namespace

SoakReport RunSoak(const SoakOptions& options) {
  SoakLog log(options.m_prints);
  GatewayCluster cluster(ClusterOptionsOf(options));
  SoakWorld world(options, log, cluster);
  PutProxiesBeforeEngines(world);
  log.AddKey("key-a");
  cluster.Operator().PublishCold(2, kSoakColdSeconds, kSoakColdPerSecond);
  SleepFor(kCalm);

  std::vector<std::thread> callers;
  std::vector<std::vector<SoakJob>> jobs_of(
      static_cast<size_t>(options.m_job_callers));
  for (int i = 0; i < options.m_online_callers; ++i) {
    callers.emplace_back(RunOnlineCaller, std::ref(world), i);
  }
  for (int i = 0; i < options.m_job_callers; ++i) {
    callers.emplace_back([&world, &jobs_of, i] {
      jobs_of[static_cast<size_t>(i)] = RunJobCaller(world, i);
    });
  }
  SleepFor(kCalm);
  FaultThreads faults(world);
  faults.Run();
  CheckAllServe(world, kServeLimit);
  EvacuateUndisturbed(world,
                      options.m_seed * kSeedsPerSoak + kSeedsPerSoak - 1);
  world.m_stopping = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  std::vector<SoakJob> jobs;
  for (std::vector<SoakJob>& own : jobs_of) {
    jobs.insert(jobs.end(), own.begin(), own.end());
  }
  SoakReport report;
  for (const SoakJob& job : jobs) {
    CheckJobEnds(world, job, kJobLimit);
    report.m_jobs += job.m_accepted ? 1 : 0;
  }
  for (int vm = 0; vm < options.m_vms; ++vm) {
    if (!cluster.Vm(static_cast<size_t>(vm)).IsRunning()) {
      log.AddViolation("a VM ended by itself");
    }
  }
  const SoakHistory history = MakeHistory(world, std::move(jobs));
  for (const std::string& line :
       FindBrokenPromises(history, kSoakRatePerS, kSoakBurst)) {
    log.AddViolation(line);
  }
  report.m_violations = log.Violations();
  report.m_calls = history.m_calls.size();
  report.m_answered = static_cast<size_t>(
      std::count_if(history.m_calls.begin(), history.m_calls.end(),
                    [](const SoakCall& call) { return call.m_status == 200; }));
  report.m_faults = history.m_faults.size();
  return report;
}

}  // namespace bronzecross
