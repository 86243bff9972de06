// Latency that bronzecross adds to a request against calling the engine
// directly, both measured in one run.

#include <cstdio>
#include <string>
#include <vector>

#include "harness/cluster.h"
#include "harness/percentile.h"
#include "measure/measurement.h"

namespace bronzecross {
namespace {

constexpr int kRequests = 2000;
constexpr int kWarmUp = 100;

int MeasureOverhead(uint64_t) {
  ClusterOptions options;
  options.m_rate_per_s = 1e6;
  options.m_burst = 1e6;
  options.m_settings = "[log]\nlevel = \"info\"\n";
  for (EngineOptions& engine : options.m_engines) {
    engine.m_prefill = Millis(1);
    engine.m_cached_prefill = Millis(1);
    engine.m_token_interval = Millis(0);
  }
  Cluster cluster(options);
  std::vector<double> direct;
  std::vector<double> through;
  ChatRequest request;
  request.m_key = Cluster::Key(0);
  request.m_tokens = 1;
  const ProcessUsage before = ReadUsage(cluster.Vm(0).Pid());
  for (int i = -kWarmUp; i < kRequests; ++i) {
    request.m_prompt = "prompt " + std::to_string(i);
    // Alternating, so that both see the same machine.
    request.m_url = cluster.Engine(0).Url();
    const ChatOutcome direct_outcome = cluster.Caller().Chat(request);
    request.m_url = cluster.Url(0);
    const ChatOutcome outcome = cluster.Caller().Chat(request);
    if (!direct_outcome.m_correct || !outcome.m_correct) {
      std::fprintf(stderr, "a request failed: %s\n",
                   outcome.m_error_code.c_str());
      return 1;
    }
    if (i >= 0) {
      direct.push_back(direct_outcome.m_latency_ms);
      through.push_back(outcome.m_latency_ms);
    }
  }
  const double cpu =
      ReadUsage(cluster.Vm(0).Pid()).m_cpu_seconds - before.m_cpu_seconds;
  std::printf(
      "measure overhead added_p50_ms=%.3f added_p99_ms=%.3f "
      "direct_p50_ms=%.3f direct_p99_ms=%.3f rps_per_core=%.0f\n",
      Percentile(through, 50) - Percentile(direct, 50),
      Percentile(through, 99) - Percentile(direct, 99), Percentile(direct, 50),
      Percentile(direct, 99), (kRequests + kWarmUp) / cpu);
  return 0;
}

const MeasurementRegistration kRegistration("overhead", MeasureOverhead);

}  // namespace
}  // namespace bronzecross
