// Replicas that say in their answers that they are leaving, among real gateway
// processes: they get no further requests of any kind.

#include <doctest/doctest.h>

#include "base/text.h"
#include "harness/cluster.h"
#include "harness/gateway_cluster.h"
#include "standins/platform_caller.h"

namespace bronzecross {
namespace {

constexpr Millis kJobTimeout{25'000};

GatewayRequest MakeRequest(const std::string& target, const std::string& id) {
  GatewayRequest request;
  request.m_target = target;
  request.m_id = id;
  return request;
}

GatewayClusterOptions OneVm() {
  GatewayClusterOptions options;
  options.m_vms = 1;
  options.m_engine.m_slots = 4;
  return options;
}

// Lets the first engine say that it is leaving, and calls it until a caller has
// got such an answer.
void AnnounceLeaving(GatewayCluster& cluster, PlatformReplicaFaults faults) {
  faults.m_leaving = true;
  cluster.Engine(0).SetFaults(faults);
  int number = 0;
  CHECK(WaitFor([&] {
    const HttpAnswer answer =
        cluster.Call(MakeRequest("/plain/x", Concat("first-", ++number)));
    return !FindHeader(answer.m_headers, "Server-Leaving").empty();
  }));
}

// Sends requests of all kinds and returns how many reached the first engine.
int64_t CountRequestsAtFirstEngine(GatewayCluster& cluster,
                                   const std::string& name) {
  const int64_t before = cluster.Engine(0).Requests();
  for (int i = 0; i < 8; ++i) {
    for (const char* target :
         {"/plain/x", "/once/x", "/stream/x", "/resume/stream"}) {
      const HttpAnswer answer = cluster.Call(
          MakeRequest(target, Concat(name, i, std::string(target))));
      CHECK(answer.m_status == 200);
    }
  }
  const std::string job = Concat(name, "-job");
  GatewayRequest submission = MakeRequest("/batch/jobs", job);
  submission.m_body = PlatformJobBody(job, 12);
  CHECK(cluster.Call(submission).m_status == 202);
  CHECK(cluster.WaitForResults(0, job, kJobTimeout)["results"].size() == 12);
  return cluster.Engine(0).Requests() - before;
}

TEST_CASE("a replica that says that it is leaving gets no further requests") {
  GatewayCluster cluster(OneVm());
  CHECK(CountRequestsAtFirstEngine(cluster, "before") > 0);
  AnnounceLeaving(cluster, PlatformReplicaFaults());
  CHECK(CountRequestsAtFirstEngine(cluster, "after") == 0);
}

// Guards against retries and resumed streams that return to the replica.
TEST_CASE("a leaving replica that breaks streams off isn't asked to resume") {
  GatewayCluster cluster(OneVm());
  PlatformReplicaFaults faults;
  faults.m_leaving = true;
  faults.m_break_after = 2;
  cluster.Engine(0).SetFaults(faults);
  int64_t reached = 0;
  for (int i = 0; i < 12; ++i) {
    const HttpAnswer answer =
        cluster.Call(MakeRequest("/resume/stream", Concat("r", i)));
    CHECK(answer.m_status == 200);
    CHECK(answer.m_body.find("id: 5\n") != std::string::npos);
    reached = cluster.Engine(0).Requests();
  }
  CHECK(reached == 1);
}

TEST_CASE("a replica that refuses as it leaves isn't asked again") {
  GatewayCluster cluster(OneVm());
  PlatformReplicaFaults faults;
  faults.m_leaving = true;
  faults.m_refuse = true;
  cluster.Engine(0).SetFaults(faults);
  CHECK(CountRequestsAtFirstEngine(cluster, "r") == 1);
}

// Guards against a replica that gets requests as its entry lapsed and came back
// while it was leaving, and against one that gets none after a new start.
TEST_CASE("a leaving replica is used again only after a new start") {
  GatewayCluster cluster(OneVm());
  AnnounceLeaving(cluster, PlatformReplicaFaults());
  cluster.Engine(0).Unregister();
  SleepFor(Millis(500));
  cluster.Engine(0).Register("ready");
  SleepFor(Millis(500));
  CHECK(CountRequestsAtFirstEngine(cluster, "same") == 0);
  cluster.Engine(0).SetFaults(PlatformReplicaFaults());
  cluster.Engine(0).RegisterAsStarted(Millis(2));
  SleepFor(Millis(500));
  CHECK(CountRequestsAtFirstEngine(cluster, "new") > 0);
}

}  // namespace
}  // namespace bronzecross
