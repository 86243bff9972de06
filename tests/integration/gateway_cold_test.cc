// Upstreams that are cold as their zone returns from an evacuation, among real
// gateway processes.

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <thread>

#include "base/text.h"
#include "harness/cluster.h"
#include "harness/gateway_cluster.h"

namespace bronzecross {
namespace {

constexpr double kColdSeconds = 4;
constexpr double kColdPerSecond = 6;
// kColdPerSecond with the default settings of a gateway.
constexpr int kBound = 14;
constexpr Millis kWindow{1'000};
constexpr int kCallers = 6;

GatewayClusterOptions TwoZones() {
  GatewayClusterOptions options;
  options.m_engine_zones = {"zone-a", "zone-b"};
  return options;
}

bool WaitForLog(GatewayCluster& cluster, const char* text) {
  return WaitFor([&] {
    return cluster.LogOf(0).find(text) != std::string::npos &&
           cluster.LogOf(1).find(text) != std::string::npos;
  });
}

// Sends requests without pause to both VMs until `until`. Returns how many got
// each status of interest.
struct CallCounts {
  std::atomic<int> m_served = 0;
  std::atomic<int> m_refused = 0;
  std::atomic<int> m_other = 0;
};

void CallUntil(GatewayCluster& cluster,
               Millis until,
               const std::string& name,
               CallCounts& counts) {
  std::vector<std::thread> callers;
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      for (int i = 0; MonotonicNow() < until; ++i) {
        GatewayRequest request;
        request.m_vm = caller % cluster.VmCount();
        request.m_target = "/once/x";
        request.m_id = Concat(name, caller, "-", i);
        const int status = cluster.Call(request).m_status;
        ++(status == 200   ? counts.m_served
           : status == 503 ? counts.m_refused
                           : counts.m_other);
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
}

int BusiestWindow(const std::vector<ReplicaRun>& runs) {
  int busiest = 0;
  for (const ReplicaRun& first : runs) {
    busiest = std::max(
        busiest, static_cast<int>(std::count_if(
                     runs.begin(), runs.end(), [&](const ReplicaRun& run) {
                       return run.m_at >= first.m_at &&
                              run.m_at < first.m_at + kWindow;
                     })));
  }
  return busiest;
}

// Guards against the crash of a zone that returns during a burst.
TEST_CASE("a zone that returns cold is spared, and kept within its bound") {
  GatewayCluster cluster(TwoZones());
  cluster.Operator().PublishCold(2, kColdSeconds, kColdPerSecond);
  cluster.Operator().Evacuate("zone-b");
  REQUIRE(WaitForLog(cluster, "The evacuation of a zone begins."));
  const size_t before = cluster.Engine(1).Runs().size();
  cluster.Operator().WithdrawEvacuation("zone-b");
  REQUIRE(WaitForLog(cluster, "An upstream is cold."));
  // Warm upstreams of another zone take what the cold one must not get.
  CallCounts warm;
  CallUntil(cluster, MonotonicNow() + Millis(700), "warm-", warm);
  CHECK(warm.m_served > 0);
  CHECK(warm.m_refused == 0);
  CHECK(warm.m_other == 0);
  CHECK(cluster.Engine(1).Runs().size() <= before + kBound);
  CHECK(cluster.Engine(0).Runs().size() > cluster.Engine(1).Runs().size());
  // Only the cold one is left.
  cluster.Operator().Evacuate("zone-a");
  SleepFor(Millis(500));
  CallCounts cold;
  CallUntil(cluster, MonotonicNow() + Millis(2'000), "cold-", cold);
  const std::vector<ReplicaRun> runs = cluster.Engine(1).Runs();
  CHECK(BusiestWindow(runs) <= kBound);
  CHECK(cold.m_served > 0);
  CHECK(cold.m_other == 0);
  REQUIRE(WaitForLog(cluster, "An upstream is no longer cold."));
  CallCounts after;
  CallUntil(cluster, MonotonicNow() + Millis(700), "after-", after);
  CHECK(after.m_served > kBound);
  CHECK(after.m_other == 0);
}

}  // namespace
}  // namespace bronzecross
