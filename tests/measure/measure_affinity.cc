// Requests with shared prompt prefixes, with and without prefix routing, over
// the same arrivals.

#include <cstdio>
#include <string>
#include <vector>

#include "base/random.h"
#include "harness/cluster.h"
#include "harness/percentile.h"
#include "measure/measurement.h"
#include "measure/poisson_load.h"

namespace bronzecross {
namespace {

constexpr int kVms = 6;
constexpr size_t kEngines = 8;
constexpr uint64_t kPrefixes = 96;
// All prefixes fit into all engines' caches together, not into one.
constexpr size_t kCachedPrefixes = 20;
constexpr double kRatePerS = 60;
constexpr Millis kPhase{12'000};
constexpr int kThreads = 96;

ClusterOptions MakeOptions(uint64_t seed, bool prefix_routing) {
  ClusterOptions options;
  options.m_vms = kVms;
  options.m_rate_per_s = 1e6;
  options.m_burst = 1e6;
  options.m_seed = seed;
  options.m_settings =
      prefix_routing ? "" : "[online]\nprefix_routing = false\n";
  options.m_engines.resize(kEngines);
  for (EngineOptions& engine : options.m_engines) {
    engine.m_slots = 4;
    engine.m_prefill = Millis(200);
    engine.m_cached_prefill = Millis(40);
    engine.m_token_interval = Millis(20);
    engine.m_cached_prefixes = kCachedPrefixes;
  }
  return options;
}

struct AffinityResult {
  double m_hit_pct = 0;
  double m_first_token_p95_ms = 0;
  int m_wrong = 0;
};

AffinityResult RunAffinity(uint64_t seed, bool prefix_routing) {
  Cluster cluster(MakeOptions(seed, prefix_routing));
  const std::vector<double> arrivals = PoissonArrivals(kRatePerS, kPhase, seed);
  Random random(seed);
  std::vector<std::string> prompts;
  std::vector<int> vms;
  for (size_t i = 0; i < arrivals.size(); ++i) {
    std::string prefix =
        "system prompt " + std::to_string(RandomBelow(random, kPrefixes)) + " ";
    prefix.resize(300, 'x');
    prompts.push_back(prefix + std::to_string(i));
    vms.push_back(static_cast<int>(RandomBelow(random, kVms)));
  }
  AffinityResult result;
  std::vector<double> first_token;
  absl::Mutex mutex;
  RunArrivals(arrivals, kThreads, [&](size_t i) {
    ChatRequest request;
    request.m_url = cluster.Url(vms[i]);
    request.m_key = Cluster::Key(0);
    request.m_prompt = prompts[i];
    request.m_tokens = 5;
    request.m_stream = true;
    const ChatOutcome outcome = cluster.Caller().Chat(request);
    absl::MutexLock lock(&mutex);
    first_token.push_back(outcome.m_first_token_ms);
    result.m_wrong += outcome.m_correct ? 0 : 1;
  });
  int64_t hits = 0;
  for (size_t i = 0; i < kEngines; ++i) {
    hits += cluster.Engine(i).PrefixHits();
  }
  result.m_hit_pct =
      100.0 * static_cast<double>(hits) / static_cast<double>(arrivals.size());
  result.m_first_token_p95_ms = Percentile(first_token, 95);
  return result;
}

int MeasureAffinity(uint64_t seed) {
  const AffinityResult with = RunAffinity(seed, true);
  const AffinityResult without = RunAffinity(seed, false);
  std::printf(
      "measure affinity prefix_hit_pct=%.1f prefix_hit_without_pct=%.1f "
      "first_token_p95_ms=%.0f first_token_p95_without_ms=%.0f "
      "first_token_p95_ratio=%.3f wrong=%d\n",
      with.m_hit_pct, without.m_hit_pct, with.m_first_token_p95_ms,
      without.m_first_token_p95_ms,
      with.m_first_token_p95_ms / without.m_first_token_p95_ms,
      with.m_wrong + without.m_wrong);
  return 0;
}

const MeasurementRegistration kRegistration("affinity", MeasureAffinity);

}  // namespace
}  // namespace bronzecross
