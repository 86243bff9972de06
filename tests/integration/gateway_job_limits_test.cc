// Bounds on batch jobs, with real gateway processes among stand-ins of the
// platform: their size, and the attempts at their items.

#include <doctest/doctest.h>

#include <signal.h>

#include "base/base64.h"
#include "base/text.h"
#include "harness/cluster.h"
#include "harness/gateway_cluster.h"
#include "standins/platform_caller.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr Millis kJobTimeout{25'000};

GatewayRequest Submission(const std::string& job, int items, int vm) {
  GatewayRequest request;
  request.m_vm = vm;
  request.m_target = "/batch/jobs";
  request.m_id = job;
  request.m_body = PlatformJobBody(job, items);
  return request;
}

// The body of a submission with items of `bytes` bytes each.
std::string LargeJobBody(const std::string& job, int items, size_t bytes) {
  json list = json::array();
  for (int i = 0; i < items; ++i) {
    list.push_back({{"id", Concat(job, "-", i)},
                    {"path", "/batch/x"},
                    {"body", Base64Encode(std::string(bytes, 'b'))},
                    {"tokens", 1}});
  }
  return json{{"items", list}}.dump();
}

// Guards against a job that is written to the store for ever, since no value of
// it can hold the job, and that its caller hears nothing of (review case 8).
TEST_CASE("a job that the store can't keep is refused at once and for good") {
  GatewayCluster cluster(GatewayClusterOptions{});
  cluster.Operator().PublishBodyLimit(2, 4'000'000);
  GatewayRequest fitting = Submission("fitting", 1, 0);
  fitting.m_body = LargeJobBody("fitting", 20, 50'000);
  for (int vm = 0; vm < cluster.VmCount(); ++vm) {
    fitting.m_vm = vm;
    CHECK(WaitFor([&] { return cluster.Call(fitting).m_status == 202; }));
  }
  GatewayRequest large = Submission("large", 1, 0);
  large.m_body = LargeJobBody("large", 20, 60'000);
  CHECK(cluster.Call(large).m_status == 413);
  large.m_vm = 1;
  CHECK(cluster.Call(large).m_status == 413);
  CHECK(cluster.Store().TooLargeWrites() == 0);
  CHECK(cluster.Store().Count("bx/job/large") == 0);
  // A store that keeps less than the settings say.
  PlatformStoreFaults faults;
  faults.m_max_value_bytes = 100'000;
  cluster.Store().SetFaults(faults);
  GatewayRequest odd = Submission("odd", 1, 0);
  odd.m_body = LargeJobBody("odd", 20, 10'000);
  CHECK(cluster.Call(odd).m_status == 413);
  const int64_t writes = cluster.Store().TooLargeWrites();
  SleepFor(Millis(1'000));
  CHECK(cluster.Store().TooLargeWrites() == writes);
  CHECK(cluster.Store().Count("bx/job/odd") == 0);
}

// Guards against a resent job that was accepted and is refused as over the cap
// by a VM that doesn't know of it, though a refusal says that it never runs.
TEST_CASE("a resent job isn't refused because of the tokens that wait") {
  GatewayCluster cluster(GatewayClusterOptions{});
  CHECK(cluster.Call(Submission("job1", 2, 0)).m_status == 202);
  CHECK(cluster.WaitForResults(0, "job1", kJobTimeout).is_object());
  cluster.Operator().PublishWaitingCap(2, 1);
  // The owner tells the others of the end of a job for some seconds.
  SleepFor(Millis(3'500));
  cluster.Vm(1).Kill();
  cluster.StartVm(1);
  cluster.WaitReady(1);
  CHECK(cluster.Call(Submission("other", 2, 1)).m_status == 429);
  CHECK(cluster.Call(Submission("job1", 2, 1)).m_status == 202);
}

// Guards against an item that fails at each run and comes to replicas again and
// again, since each owner of its job counts from zero.
TEST_CASE("failed attempts count on after a hand-over") {
  constexpr int kAttempts = 9;
  GatewayCluster cluster(GatewayClusterOptions{});
  cluster.Operator().PublishRoute(2, "batch", {{"maxAttempts", kAttempts}});
  cluster.Operator().PublishRoute(3, "mark", {{"prefix", "/mark/"}});
  GatewayRequest mark;
  mark.m_target = "/mark/x";
  mark.m_id = "mark";
  for (int vm = 0; vm < cluster.VmCount(); ++vm) {
    mark.m_vm = vm;
    CHECK(WaitFor([&] { return cluster.Call(mark).m_status == 200; }));
  }
  const auto count_runs = [&cluster] {
    int runs = 0;
    for (int i = 0; i < cluster.EngineCount(); ++i) {
      for (const ReplicaRun& run : cluster.Engine(i).Runs()) {
        runs += run.m_request_id.starts_with("job1") ? 1 : 0;
      }
    }
    return runs;
  };
  PlatformReplicaFaults failing;
  failing.m_fail_status = 500;
  cluster.Engine(0).SetFaults(failing);
  cluster.Engine(1).SetFaults(failing);
  CHECK(cluster.Call(Submission("job1", 1, 0)).m_status == 202);
  CHECK(WaitFor([&] { return count_runs() >= 4; }));
  cluster.Vm(0).Signal(SIGTERM);
  const json page = cluster.WaitForResults(1, "job1", kJobTimeout);
  REQUIRE(page.is_object());
  REQUIRE(page["results"].size() == 1);
  CHECK(page["results"][0]["state"] == "abandoned");
  // A run that the stop has ended may not count.
  CHECK(count_runs() >= kAttempts);
  CHECK(count_runs() <= kAttempts + 1);
}

}  // namespace
}  // namespace bronzecross
