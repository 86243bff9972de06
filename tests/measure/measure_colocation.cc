// Latency of online requests with bursts, with and without batch work on the
// same engines and the same seed, and the batch throughput beside it.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "base/random.h"
#include "harness/batch_caller.h"
#include "harness/percentile.h"
#include "measure/measurement.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr int kEngines = 4;
constexpr int kSlots = 16;
constexpr int64_t kOnlineTokens = 20;
constexpr int64_t kBatchTokens = 50;
constexpr Millis kPhase{12'000};
constexpr double kMeanGapMs = 20;
constexpr int kBurst = 24;
constexpr Millis kBurstEvery{2000};
constexpr int kCallers = 160;

// The times, counted from the start of a phase, at which requests are sent.
std::vector<Millis> MakeArrivals(uint64_t seed) {
  Random random(seed);
  std::exponential_distribution<double> gap(1.0 / kMeanGapMs);
  std::vector<Millis> arrivals;
  for (double at = 0; at < static_cast<double>(kPhase.count());
       at += gap(random)) {
    arrivals.push_back(Millis(static_cast<int64_t>(at)));
  }
  for (Millis at = kBurstEvery / 2; at < kPhase; at += kBurstEvery) {
    arrivals.insert(arrivals.end(), kBurst, at);
  }
  std::sort(arrivals.begin(), arrivals.end());
  return arrivals;
}

struct PhaseResult {
  std::vector<double> m_latencies;
  int64_t m_failed = 0;
  // Lengths of the times in which an engine held more than its slots.
  std::vector<double> m_overfull_ms;
};

void WatchEngines(Cluster& cluster,
                  const std::atomic<bool>& stop,
                  std::vector<double>& overfull) {
  std::vector<Millis> since(kEngines);
  while (!stop) {
    for (size_t i = 0; i < kEngines; ++i) {
      const Millis now = MonotonicNow();
      if (cluster.Engine(i).Running() > kSlots) {
        since[i] = since[i] == Millis(0) ? now : since[i];
      } else if (since[i] != Millis(0)) {
        overfull.push_back(static_cast<double>((now - since[i]).count()));
        since[i] = Millis(0);
      }
    }
    SleepFor(Millis(1));
  }
}

PhaseResult RunPhase(Cluster& cluster, const std::vector<Millis>& arrivals) {
  PhaseResult result;
  std::vector<double> latencies(arrivals.size());
  std::atomic<size_t> next = 0;
  std::atomic<int64_t> failed = 0;
  std::atomic<bool> stop = false;
  std::thread watcher(
      [&] { WatchEngines(cluster, stop, result.m_overfull_ms); });
  const Millis start = MonotonicNow();
  std::vector<std::thread> threads;
  for (int t = 0; t < kCallers; ++t) {
    threads.emplace_back([&] {
      for (size_t i = next++; i < arrivals.size(); i = next++) {
        SleepFor(std::max(start + arrivals[i] - MonotonicNow(), Millis(0)));
        ChatRequest request;
        request.m_url = cluster.Url(static_cast<int>(i) % cluster.VmCount());
        request.m_key = Cluster::Key(1);
        request.m_prompt = "online " + std::to_string(i);
        request.m_tokens = kOnlineTokens;
        const ChatOutcome outcome = cluster.Caller().Chat(request);
        latencies[i] = outcome.m_latency_ms;
        failed += outcome.m_correct ? 0 : 1;
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  stop = true;
  watcher.join();
  result.m_latencies = std::move(latencies);
  result.m_failed = failed;
  return result;
}

// Milliseconds that one request of `tokens` takes on an idle engine.
double Calibrate(Cluster& cluster, int64_t tokens) {
  std::vector<double> times;
  for (int i = 0; i < 7; ++i) {
    ChatRequest request;
    request.m_url = cluster.Engine(0).Url();
    request.m_prompt = "calibration " + std::to_string(i);
    request.m_tokens = tokens;
    request.m_stream = true;
    times.push_back(cluster.Caller().Chat(request).m_latency_ms);
  }
  return Percentile(times, 50);
}

int64_t TotalFinished(Cluster& cluster) {
  int64_t finished = 0;
  for (size_t i = 0; i < kEngines; ++i) {
    finished += cluster.Engine(i).Finished();
  }
  return finished;
}

int MeasureColocation(uint64_t seed) {
  ClusterOptions options;
  options.m_vms = 3;
  options.m_seed = seed;
  options.m_rate_per_s = 1e6;
  options.m_burst = 1e6;
  options.m_engines = std::vector<EngineOptions>(kEngines);
  for (EngineOptions& engine : options.m_engines) {
    engine.m_slots = kSlots;
    engine.m_cached_prefill = engine.m_prefill;
    engine.m_token_interval = Millis(10);
  }
  Cluster cluster(options);
  BatchCaller caller(cluster);
  const double online_ms = Calibrate(cluster, kOnlineTokens);
  const double batch_ms = Calibrate(cluster, kBatchTokens);
  const std::vector<Millis> arrivals = MakeArrivals(seed);
  const PhaseResult alone = RunPhase(cluster, arrivals);
  BatchSpec spec;
  spec.m_chat_items = 4000;
  spec.m_tokens = kBatchTokens;
  const json job = caller.Submit(0, caller.Upload(0, spec, Millis(5000)), "k");
  if (!job.is_object() || !job.contains("id") ||
      !WaitFor([&] { return TotalFinished(cluster) > 0; }, Millis(5000))) {
    return 1;
  }
  // Batch reaches its steady state before the second phase.
  SleepFor(Millis(1500));
  const Millis start = MonotonicNow();
  const int64_t before = TotalFinished(cluster);
  const PhaseResult beside = RunPhase(cluster, arrivals);
  const double elapsed = static_cast<double>((MonotonicNow() - start).count());
  const double batch_items = static_cast<double>(
      TotalFinished(cluster) - before - static_cast<int64_t>(arrivals.size()));
  const double idle_slot_ms = kEngines * kSlots * elapsed -
                              static_cast<double>(arrivals.size()) * online_ms;
  const double p99_alone = Percentile(alone.m_latencies, 99);
  const double p99_beside = Percentile(beside.m_latencies, 99);
  std::printf(
      "measure colocation online_p99_ratio=%.3f batch_of_idle_pct=%.1f "
      "yield_ms=%.0f yields=%zu overfull_without_batch=%zu "
      "online_p99_without_ms=%.1f online_p99_with_ms=%.1f "
      "online_p50_without_ms=%.1f online_p50_with_ms=%.1f "
      "online_failed=%lld requests=%zu batch_items=%.0f\n",
      p99_beside / p99_alone, 100 * batch_items * batch_ms / idle_slot_ms,
      Percentile(beside.m_overfull_ms, 95), beside.m_overfull_ms.size(),
      alone.m_overfull_ms.size(), p99_alone, p99_beside,
      Percentile(alone.m_latencies, 50), Percentile(beside.m_latencies, 50),
      static_cast<long long>(alone.m_failed + beside.m_failed), arrivals.size(),
      batch_items);
  return 0;
}

const MeasurementRegistration kRegistration("colocation", MeasureColocation);

}  // namespace
}  // namespace bronzecross
