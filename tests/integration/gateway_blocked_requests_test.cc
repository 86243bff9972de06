// Requests that are blocked because upstreams broke them, with real gateway
// processes among stand-ins of the platform.

#include <doctest/doctest.h>

#include "base/text.h"
#include "harness/cluster.h"
#include "harness/gateway_cluster.h"

namespace bronzecross {
namespace {

constexpr int kEngines = 5;
constexpr Millis kPause{100};
constexpr Millis kRecoveryTimeout{30'000};

// All requests are alike but for their ids, and come to the VMs in turn.
HttpAnswer Send(GatewayCluster& cluster, int number) {
  GatewayRequest request;
  request.m_vm = number % cluster.VmCount();
  request.m_target = "/stream/faq";
  request.m_id = Concat("r", number);
  return cluster.Call(request);
}

int64_t CountArrived(GatewayCluster& cluster) {
  int64_t arrived = 0;
  for (size_t i = 0; i < kEngines; ++i) {
    arrived += cluster.Engine(i).Requests();
  }
  return arrived;
}

void BreakStreams(GatewayCluster& cluster, bool breaks) {
  PlatformReplicaFaults faults;
  faults.m_break_after = breaks ? 0 : -1;
  for (size_t i = 0; i < kEngines; ++i) {
    cluster.Engine(i).SetFaults(faults);
  }
}

// Guards against a common request that is refused for good once upstreams have
// broken it, as nothing is run any more that could end well (review case 14).
TEST_CASE("a blocked request is served again although it never stops coming") {
  GatewayClusterOptions options;
  options.m_engines = kEngines;
  options.m_vms = 3;
  GatewayCluster cluster(options);
  BreakStreams(cluster, true);
  int number = 0;
  int unsent = 0;  // in a row
  while (unsent < 10 && number < 100) {
    const int64_t before = CountArrived(cluster);
    CHECK(Send(cluster, number++).m_status != 200);
    unsent = CountArrived(cluster) == before ? unsent + 1 : 0;
    SleepFor(kPause);
  }
  REQUIRE(unsent == 10);
  // A request that crashes upstreams must reach few of them.
  CHECK(CountArrived(cluster) <= 12);
  BreakStreams(cluster, false);
  const Millis until = MonotonicNow() + kRecoveryTimeout;
  while (Send(cluster, number++).m_status != 200 && MonotonicNow() < until) {
    SleepFor(kPause);
  }
  REQUIRE(MonotonicNow() < until);
  SleepFor(Millis(500));
  for (int i = 0; i < 12; ++i) {
    CHECK(Send(cluster, number++).m_status == 200);
  }
}

// Guards against a VM that starts and runs what the others block.
TEST_CASE("a VM that starts goes by the block of the others") {
  GatewayClusterOptions options;
  options.m_engines = kEngines;
  options.m_vms = 3;
  GatewayCluster cluster(options);
  BreakStreams(cluster, true);
  for (int i = 0; i < 12; ++i) {
    Send(cluster, i);
    SleepFor(kPause);
  }
  cluster.Vm(2).Kill();
  cluster.StartVm(2);
  cluster.WaitReady(2);
  const int64_t before = CountArrived(cluster);
  CHECK(Send(cluster, 2).m_status == 502);
  // On a slow machine it may be time for a trial by then.
  CHECK((CountArrived(cluster) == before ||
         cluster.LogOf(2).find("A blocked request is tried.") !=
             std::string::npos));
}

}  // namespace
}  // namespace bronzecross
