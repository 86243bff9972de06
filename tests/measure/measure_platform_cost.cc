// Cost of the gateway among stand-ins of the platform: processor time of a
// stream of 25 events and of each event, memory, store calls of idle VMs, and
// the time that a plain request takes longer through a gateway than at the
// replica.

#include <chrono>
#include <cstdio>
#include <thread>
#include <vector>

#include "base/text.h"
#include "harness/gateway_cluster.h"
#include "harness/percentile.h"
#include "measure/measurement.h"
#include "standins/platform_caller.h"

namespace bronzecross {
namespace {

constexpr int kEvents = 25;
constexpr int kCallers = 8;
constexpr int kStreamsOfCaller = 40;
constexpr int kPlainRequests = 400;
constexpr Millis kIdleTime{5'000};

double CpuSeconds(GatewayCluster& cluster) {
  return ReadUsage(cluster.Vm(0).Pid()).m_cpu_seconds;
}

void RunStreams(GatewayCluster& cluster) {
  std::vector<std::thread> callers;
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&cluster, caller] {
      for (int i = 0; i < kStreamsOfCaller; ++i) {
        GatewayRequest request;
        request.m_target = "/stream/x";
        request.m_id = Concat("s-", caller, "-", i);
        cluster.Call(request);
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
}

// Milliseconds of plain requests to `url`.
std::vector<double> TimePlain(const std::string& url, bool direct) {
  HttpClient client;
  std::vector<double> times;
  for (int i = 0; i < kPlainRequests; ++i) {
    HttpCall call;
    call.m_method = "POST";
    call.m_url = Concat(url, "/plain/x");
    call.m_headers =
        PlatformCallerFields(Concat(direct ? "d-" : "g-", i), "key-a", 5'000);
    call.m_headers.push_back({"Host", "gateway.test"});
    call.m_body = "question";
    const std::chrono::steady_clock::time_point started =
        std::chrono::steady_clock::now();
    client.Call(call);
    const std::chrono::duration<double, std::milli> took =
        std::chrono::steady_clock::now() - started;
    times.push_back(took.count());
  }
  return times;
}

double Mean(const std::vector<double>& values) {
  double sum = 0;
  for (const double value : values) {
    sum += value;
  }
  return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

int MeasurePlatformCost(uint64_t) {
  GatewayClusterOptions options;
  options.m_vms = 4;
  options.m_engine.m_events = kEvents;
  options.m_engine.m_event_gap = Millis(4);
  GatewayCluster cluster(options);
  SleepFor(Millis(2'000));

  const double idle_from = CpuSeconds(cluster);
  const int64_t calls_from = cluster.Store().Calls();
  SleepFor(kIdleTime);
  const double idle_cpu =
      (CpuSeconds(cluster) - idle_from) / kIdleTime.Seconds();
  const double calls_per_s =
      static_cast<double>(cluster.Store().Calls() - calls_from) /
      kIdleTime.Seconds();

  const Millis started = MonotonicNow();
  const double busy_from = CpuSeconds(cluster);
  RunStreams(cluster);
  const double took = (MonotonicNow() - started).Seconds();
  const double cpu = CpuSeconds(cluster) - busy_from - idle_cpu * took;
  const double per_stream = cpu * 1'000 / (kCallers * kStreamsOfCaller);

  std::vector<double> direct = TimePlain(
      Concat("http://", cluster.Engine(0).Address().ToString()), true);
  std::vector<double> through = TimePlain(cluster.CallerUrl(0), false);
  const double added = Mean(through) - Mean(direct);
  const double p99 = Percentile(through, 99) - Percentile(direct, 99);
  const ProcessUsage usage = ReadUsage(cluster.Vm(0).Pid());
  std::printf("idle_cpu_pct=%.2f vms=4\n", idle_cpu * 100);
  std::printf(
      "measure platform_cost cpu_ms_per_stream=%.3f cpu_us_per_event=%.1f "
      "resident_mb=%.1f store_calls_per_s=%.2f mean_added_ms=%.3f "
      "p99_added_ms=%.3f\n",
      per_stream, per_stream * 1'000 / kEvents,
      static_cast<double>(usage.m_rss_bytes) / 1e6, calls_per_s, added, p99);
  return 0;
}

const MeasurementRegistration kRegistration("platform_cost",
                                            MeasurePlatformCost);

}  // namespace
}  // namespace bronzecross
