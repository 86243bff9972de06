// Ways to treat upstreams that refuse or fail: waiting out Retry-After when all
// are full, always on the same upstream or never; remembering a refused model
// or not; counting every 5xx for the circuit breaker or not.

#include <cstdio>
#include <string>
#include <vector>

#include "harness/cluster.h"
#include "harness/percentile.h"
#include "measure/measurement.h"
#include "measure/poisson_load.h"

namespace bronzecross {
namespace {

constexpr size_t kEngines = 4;
constexpr double kRatePerS = 60;
constexpr Millis kPhase{2500};
constexpr int kThreads = 128;

// What the engines do wrong in a run.
enum class Fault {
  kQuotaOne,  // one engine has a quota below its share
  kQuotaAll,  // all have, so that the fleet has too little
  kModel,     // one engine does not have the model
  kErrors,    // one engine answers 500
};

struct ThrottleResult {
  // Answers in percent of the requests, latency, and requests that engines
  // refused, per request.
  double m_ok_pct = 0;
  double m_p99_ms = 0;
  double m_refusals = 0;
};

void Inject(Cluster& cluster, Fault fault) {
  if (fault == Fault::kErrors) {
    cluster.Engine(0).FailNext(1'000'000, 500);
  } else if (fault == Fault::kQuotaOne) {
    cluster.Engine(0).SetQuota(5);
  } else if (fault == Fault::kQuotaAll) {
    for (size_t i = 0; i < kEngines; ++i) {
      cluster.Engine(i).SetQuota(13);
    }
  }
}

ThrottleResult RunThrottle(uint64_t seed,
                           Fault fault,
                           const std::string& setting) {
  ClusterOptions options;
  options.m_rate_per_s = 1e6;
  options.m_burst = 1e6;
  options.m_seed = seed;
  options.m_engines.resize(kEngines);
  options.m_settings = std::string("[online]\n") + setting + "\n";
  for (EngineOptions& engine : options.m_engines) {
    // Few slots, so that every engine gets a share.
    engine.m_slots = 2;
    engine.m_prefill = Millis(60);
    engine.m_cached_prefill = Millis(60);
  }
  if (fault == Fault::kModel) {
    options.m_engines[0].m_models = {"other"};
  }
  Cluster cluster(options);
  Inject(cluster, fault);
  const std::vector<double> arrivals = PoissonArrivals(kRatePerS, kPhase, seed);
  std::vector<double> latency;
  int good = 0;
  absl::Mutex mutex;
  RunArrivals(arrivals, kThreads, [&](size_t i) {
    ChatRequest request;
    request.m_url = cluster.Url(static_cast<int>(i) % cluster.VmCount());
    request.m_key = Cluster::Key(0);
    request.m_prompt = "throttle " + std::to_string(i);
    request.m_tokens = 2;
    const ChatOutcome outcome = cluster.Caller().Chat(request);
    absl::MutexLock lock(&mutex);
    good += outcome.m_correct ? 1 : 0;
    if (outcome.m_correct) {
      latency.push_back(outcome.m_latency_ms);
    }
  });
  const double count = static_cast<double>(arrivals.size());
  ThrottleResult result;
  int64_t refused = 0;
  for (size_t i = 0; i < kEngines; ++i) {
    refused += cluster.Engine(i).Refused();
  }
  result.m_ok_pct = 100.0 * good / count;
  result.m_p99_ms = Percentile(latency, 99);
  result.m_refusals = static_cast<double>(refused) / count;
  return result;
}

void Print(const std::string& name,
           uint64_t seed,
           Fault fault,
           const std::string& setting) {
  const ThrottleResult result = RunThrottle(seed, fault, setting);
  std::printf(" %s_ok_pct=%.1f %s_p99_ms=%.0f %s_refusals=%.2f", name.c_str(),
              result.m_ok_pct, name.c_str(), result.m_p99_ms, name.c_str(),
              result.m_refusals);
}

int MeasureThrottle(uint64_t seed) {
  std::printf("measure throttle");
  for (const char* policy : {"when_full", "same", "never"}) {
    const std::string setting = std::string("retry_after = \"") + policy + "\"";
    Print(std::string("one_quota_") + policy, seed, Fault::kQuotaOne, setting);
    Print(std::string("all_quota_") + policy, seed, Fault::kQuotaAll, setting);
  }
  Print("refused_model", seed, Fault::kModel, "");
  Print("refused_model_off", seed, Fault::kModel, "cache_refusals = false");
  Print("every_5xx", seed, Fault::kErrors, "");
  Print("every_5xx_off", seed, Fault::kErrors, "count_every_5xx = false");
  std::printf("\n");
  return 0;
}

const MeasurementRegistration kRegistration("throttle", MeasureThrottle);

}  // namespace
}  // namespace bronzecross
