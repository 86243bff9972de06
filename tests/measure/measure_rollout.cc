// A new model version over 15 replicas under load.

#include <algorithm>
#include <cstdio>

#include "harness/background_load.h"
#include "harness/cluster.h"
#include "harness/percentile.h"
#include "measure/measurement.h"

namespace bronzecross {
namespace {

constexpr size_t kReplicas = 15;
constexpr int64_t kMinReady = 11;
constexpr int64_t kMaxLoads = 3;
constexpr Millis kStep{10};
constexpr Millis kBefore{5000};
constexpr Millis kLongest{35'000};

int64_t CountLoading(Cluster& cluster) {
  int64_t loading = 0;
  for (size_t i = 0; i < kReplicas; ++i) {
    loading += cluster.Engine(i).IsLoading() ? 1 : 0;
  }
  return loading;
}

bool AllHave(Cluster& cluster, const std::string& version) {
  for (size_t i = 0; i < kReplicas; ++i) {
    if (cluster.Engine(i).Version() != version ||
        cluster.Engine(i).IsLoading()) {
      return false;
    }
  }
  return true;
}

int MeasureRollout(uint64_t seed) {
  ClusterOptions options;
  options.m_seed = seed;
  options.m_engines.assign(kReplicas, EngineOptions());
  for (EngineOptions& engine : options.m_engines) {
    engine.m_load_time = Millis(600);
    engine.m_prefill = Millis(40);
    engine.m_token_interval = Millis(4);
  }
  Cluster cluster(options);
  cluster.GetManifest().m_models[0].m_min_ready = kMinReady;
  cluster.GetManifest().m_max_loads = kMaxLoads;
  cluster.Publish();
  BackgroundLoadOptions load_options;
  load_options.m_callers = 12;
  load_options.m_choose_vm = [](int caller, int64_t) { return caller % 3; };
  BackgroundLoad load(cluster, load_options);
  SleepFor(kBefore);

  cluster.GetManifest().m_models[0].m_version = "v2";
  cluster.Publish();
  const Millis begin = MonotonicNow();
  int64_t most_loading = 0;
  Millis uncovered;
  while (!AllHave(cluster, "v2") && MonotonicNow() - begin < kLongest) {
    const int64_t loading = CountLoading(cluster);
    most_loading = std::max(most_loading, loading);
    if (static_cast<int64_t>(kReplicas) - loading < kMinReady) {
      uncovered += kStep;
    }
    SleepFor(kStep);
  }
  const Millis end = MonotonicNow();
  const bool completed = AllHave(cluster, "v2");
  load.Stop();

  std::vector<double> before;
  std::vector<double> during;
  int64_t failed = 0;
  for (const LoadSample& sample : load.Samples()) {
    failed += sample.m_outcome.m_correct ? 0 : 1;
    (sample.m_sent < begin ? before : during)
        .push_back(sample.m_outcome.m_latency_ms);
  }
  int64_t refused = 0;
  for (size_t i = 0; i < kReplicas; ++i) {
    refused += cluster.Engine(i).RefusedWhileLoading();
  }
  std::printf(
      "measure rollout uncovered_ms=%lld loads_in_flight_max=%lld "
      "max_loads=%lld online_p99_ratio=%.3f failed=%lld "
      "sent_while_loading=%lld rollout_s=%.1f completed=%d\n",
      static_cast<long long>(uncovered.count()),
      static_cast<long long>(most_loading), static_cast<long long>(kMaxLoads),
      Percentile(during, 99) / std::max(Percentile(before, 99), 0.001),
      static_cast<long long>(failed), static_cast<long long>(refused),
      (end - begin).Seconds(), completed ? 1 : 0);
  return 0;
}

const MeasurementRegistration kRegistration("rollout", MeasureRollout);

}  // namespace
}  // namespace bronzecross
