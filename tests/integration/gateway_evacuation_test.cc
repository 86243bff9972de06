// Evacuated availability zones, among real gateway processes: their upstreams
// get no requests of any kind until the evacuation is withdrawn.

#include <doctest/doctest.h>

#include <signal.h>

#include <atomic>
#include <thread>

#include "base/text.h"
#include "harness/cluster.h"
#include "harness/gateway_cluster.h"
#include "standins/platform_caller.h"

namespace bronzecross {
namespace {

constexpr Millis kJobTimeout{25'000};
constexpr int kFrozenCalls = 24;
constexpr Millis kFreeze{2'000};
constexpr const char* kBegins = "The evacuation of a zone begins.";
constexpr const char* kEnded = "The evacuation of a zone has ended.";

GatewayRequest MakeRequest(int vm,
                           const std::string& target,
                           const std::string& id) {
  GatewayRequest request;
  request.m_vm = vm;
  request.m_target = target;
  request.m_id = id;
  return request;
}

// Two VMs behind proxies to the store, an engine in each of two zones.
GatewayClusterOptions TwoZones() {
  GatewayClusterOptions options;
  options.m_store_proxies = true;
  options.m_engine_zones = {"zone-a", "zone-b"};
  options.m_placement = "evacuate_ms = 5000\n";
  return options;
}

bool WaitForLog(GatewayCluster& cluster, int vm, const char* text) {
  return WaitFor([&] {
    return cluster.LogOf(static_cast<size_t>(vm)).find(text) !=
           std::string::npos;
  });
}

// Sends requests of all kinds to all VMs, all of which must be served. Returns
// how many reached the engine of zone-b.
int64_t CountRequestsInZoneB(GatewayCluster& cluster, const std::string& name) {
  const int64_t before = cluster.Engine(1).Requests();
  for (int vm = 0; vm < cluster.VmCount(); ++vm) {
    for (int i = 0; i < 6; ++i) {
      for (const char* target :
           {"/plain/x", "/once/x", "/stream/x", "/resume/stream"}) {
        const std::string id = Concat(name, vm, "-", i, std::string(target));
        CHECK(cluster.Call(MakeRequest(vm, target, id)).m_status == 200);
      }
    }
  }
  return cluster.Engine(1).Requests() - before;
}

int64_t CountItemsInZoneB(GatewayCluster& cluster, const std::string& job) {
  const int64_t before = cluster.Engine(1).Requests();
  GatewayRequest submission = MakeRequest(0, "/batch/jobs", job);
  submission.m_body = PlatformJobBody(job, 12);
  CHECK(cluster.Call(submission).m_status == 202);
  CHECK(cluster.WaitForResults(0, job, kJobTimeout)["results"].size() == 12);
  return cluster.Engine(1).Requests() - before;
}

void SetStoreReachable(GatewayCluster& cluster, bool is_reachable) {
  ProxyFaults faults;
  faults.m_refuse = !is_reachable;
  for (int vm = 0; vm < cluster.VmCount(); ++vm) {
    FaultProxy& proxy = cluster.StoreProxy(static_cast<size_t>(vm));
    proxy.SetFaults(faults);
    proxy.CutAll();
  }
}

// Guards against requests, retries and batch items in an evacuated zone, and
// against a VM that serves callers before it knows of the evacuation.
TEST_CASE("upstreams of an evacuated zone get nothing, also from a new VM") {
  GatewayCluster cluster(TwoZones());
  CHECK(CountRequestsInZoneB(cluster, "before") > 0);
  cluster.Operator().Evacuate("zone-b");
  CHECK(WaitForLog(cluster, 0, kBegins));
  CHECK(WaitForLog(cluster, 1, kBegins));
  CHECK(CountRequestsInZoneB(cluster, "during") == 0);
  CHECK(CountItemsInZoneB(cluster, "job-during") == 0);
  cluster.Vm(1).Kill();
  cluster.StartVm(1);
  cluster.WaitReady(1);
  CHECK(CountRequestsInZoneB(cluster, "restarted") == 0);
  // An upstream that registers during the evacuation.
  cluster.Engine(1).RegisterAsStarted(Millis(7));
  SleepFor(Millis(500));
  CHECK(CountRequestsInZoneB(cluster, "registered") == 0);
  cluster.Operator().WithdrawEvacuation("zone-b");
  CHECK(WaitForLog(cluster, 0, kEnded));
  CHECK(WaitForLog(cluster, 1, kEnded));
  CHECK(CountRequestsInZoneB(cluster, "after") > 0);
}

// Guards against an evacuation that ends with the connection to the store, and
// against one that lasts on as its withdrawal was missed.
TEST_CASE("an evacuation stays in force while the store is unreachable") {
  GatewayCluster cluster(TwoZones());
  cluster.Operator().Evacuate("zone-b");
  CHECK(WaitForLog(cluster, 0, kBegins));
  CHECK(WaitForLog(cluster, 1, kBegins));
  SetStoreReachable(cluster, false);
  CHECK(CountRequestsInZoneB(cluster, "cut") == 0);
  cluster.Operator().WithdrawEvacuation("zone-b");
  SleepFor(Millis(1'500));
  CHECK(CountRequestsInZoneB(cluster, "withdrawn") == 0);
  cluster.Store().DropHistory();
  SetStoreReachable(cluster, true);
  CHECK(WaitForLog(cluster, 0, kEnded));
  CHECK(WaitForLog(cluster, 1, kEnded));
  CHECK(CountRequestsInZoneB(cluster, "after") > 0);
}

// Guards against requests that a VM has collected while it was frozen and that
// it sends before it reads the evacuation.
TEST_CASE("a VM that was frozen reads an evacuation before it sends") {
  GatewayCluster cluster(TwoZones());
  CHECK(CountRequestsInZoneB(cluster, "before") > 0);
  cluster.Vm(1).Signal(SIGSTOP);
  cluster.Operator().Evacuate("zone-b");
  CHECK(WaitForLog(cluster, 0, kBegins));
  const int64_t before = cluster.Engine(1).Requests();
  std::vector<std::thread> callers;
  std::atomic<int> served = 0;
  for (int i = 0; i < kFrozenCalls; ++i) {
    callers.emplace_back([&cluster, &served, i] {
      const HttpAnswer answer =
          cluster.Call(MakeRequest(1, "/once/x", Concat("frozen-", i)));
      served += answer.m_status == 200 ? 1 : 0;
    });
  }
  SleepFor(kFreeze);
  cluster.Vm(1).Signal(SIGCONT);
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK(served == kFrozenCalls);
  CHECK(cluster.Engine(1).Requests() == before);
}

// Guards against requests that wait for upstreams that they may not use.
TEST_CASE("with all zones evacuated requests are refused, and served again") {
  GatewayCluster cluster(TwoZones());
  cluster.Operator().Evacuate("zone-a");
  cluster.Operator().Evacuate("zone-b");
  CHECK(WaitFor([&] {
    return cluster.Call(MakeRequest(0, "/once/x", "probe")).m_status == 503;
  }));
  const int64_t before =
      cluster.Engine(0).Requests() + cluster.Engine(1).Requests();
  for (int i = 0; i < 10; ++i) {
    const HttpAnswer answer =
        cluster.Call(MakeRequest(0, "/stream/x", Concat("none-", i)));
    CHECK(answer.m_status == 503);
    CHECK_FALSE(FindHeader(answer.m_headers, "Retry-After").empty());
  }
  CHECK(cluster.Engine(0).Requests() + cluster.Engine(1).Requests() == before);
  cluster.Operator().WithdrawEvacuation("zone-a");
  CHECK(WaitFor([&] {
    return cluster.Call(MakeRequest(0, "/once/x", "again")).m_status == 200;
  }));
}

}  // namespace
}  // namespace bronzecross
