// Requests that may run in some regions only, among real gateway processes.

#include <doctest/doctest.h>

#include "base/text.h"
#include "harness/cluster.h"
#include "harness/gateway_cluster.h"
#include "standins/platform_caller.h"

namespace bronzecross {
namespace {

constexpr Millis kJobTimeout{25'000};

// VMs and engines in two regions: vm-0 and i-0 in "eu", the others in "us".
GatewayClusterOptions TwoRegions() {
  GatewayClusterOptions options;
  options.m_engine_zones = {"zone-a", "zone-b"};
  options.m_vm_zones = {"zone-a", "zone-b"};
  options.m_placement =
      "[placement.zone_regions]\n\"zone-a\" = \"eu\"\n\"zone-b\" = \"us\"\n";
  return options;
}

GatewayRequest MakeRequest(int vm,
                           const std::string& target,
                           const std::string& id) {
  GatewayRequest request;
  request.m_vm = vm;
  request.m_target = target;
  request.m_id = id;
  return request;
}

bool WaitForVersion(GatewayCluster& cluster, const char* version) {
  return WaitFor([&] {
    return cluster.LogOf(0).find(version) != std::string::npos &&
           cluster.LogOf(1).find(version) != std::string::npos;
  });
}

void CallAll(GatewayCluster& cluster, const std::string& name) {
  for (int vm = 0; vm < cluster.VmCount(); ++vm) {
    for (int i = 0; i < 6; ++i) {
      for (const char* target :
           {"/plain/x", "/once/x", "/stream/x", "/resume/stream"}) {
        const std::string id = Concat(name, vm, "-", i, std::string(target));
        CHECK(cluster.Call(MakeRequest(vm, target, id)).m_status == 200);
      }
    }
  }
}

void Submit(GatewayCluster& cluster, int vm, const std::string& job) {
  GatewayRequest submission = MakeRequest(vm, "/batch/jobs", job);
  submission.m_body = PlatformJobBody(job, 12);
  CHECK(cluster.Call(submission).m_status == 202);
}

// Guards against requests, retries and batch items that run outside the homes
// of their workspace, and against requests that wait for such an upstream.
TEST_CASE("requests of a workspace run in its regions, or are refused") {
  GatewayCluster cluster(TwoRegions());
  CallAll(cluster, "any");
  CHECK(cluster.Engine(1).Requests() > 0);
  cluster.Operator().PublishRegions(2, {"eu"});
  REQUIRE(WaitForVersion(cluster, "in force. version=2"));
  const int64_t before = cluster.Engine(1).Requests();
  CallAll(cluster, "homes");
  PlatformReplicaFaults faults;
  faults.m_break_after = 2;
  faults.m_breaks_left = 3;
  cluster.Engine(0).SetFaults(faults);
  CHECK(cluster.Call(MakeRequest(1, "/resume/stream", "broken")).m_status ==
        200);
  cluster.Engine(0).SetFaults(PlatformReplicaFaults());
  Submit(cluster, 1, "job-homes");
  CHECK(cluster.WaitForResults(1, "job-homes", kJobTimeout)["results"].size() ==
        12);
  CHECK(cluster.Engine(1).Requests() == before);
  cluster.Engine(0).Unregister();
  SleepFor(Millis(500));
  CHECK(cluster.Call(MakeRequest(1, "/once/x", "none")).m_status == 503);
  CHECK(cluster.Engine(1).Requests() == before);
  // The other workspace may run anywhere.
  GatewayRequest other = MakeRequest(1, "/once/x", "other");
  other.m_key = "key-b";
  CHECK(cluster.Call(other).m_status == 200);
}

// Guards against a VM that reads the bodies of a job that it may not hold, and
// against a job that stays without an owner.
TEST_CASE("a job is taken over by a VM in a home only") {
  GatewayClusterOptions options = TwoRegions();
  options.m_vms = 3;
  options.m_vm_zones = {"zone-a", "zone-b", "zone-a"};
  options.m_engine.m_event_gap = Millis(300);
  GatewayCluster cluster(options);
  cluster.Operator().PublishRegions(2, {"eu"});
  REQUIRE(WaitForVersion(cluster, "in force. version=2"));
  for (int i = 0; i < 4; ++i) {
    Submit(cluster, 0, Concat("job-", i));
  }
  SleepFor(Millis(1'000));
  cluster.Vm(0).Kill();
  for (int i = 0; i < 4; ++i) {
    CHECK(cluster.WaitForResults(2, Concat("job-", i), kJobTimeout)["results"]
              .size() == 12);
  }
  CHECK(cluster.LogOf(1).find("Took over a job.") == std::string::npos);
  CHECK(cluster.LogOf(2).find("Took over a job.") != std::string::npos);
}

}  // namespace
}  // namespace bronzecross
