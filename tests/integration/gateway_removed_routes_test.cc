// Calls about jobs whose batch route has changed, at VMs that have started
// since, with real gateway processes among stand-ins of the platform.

#include <doctest/doctest.h>

#include "base/text.h"
#include "harness/cluster.h"
#include "harness/gateway_cluster.h"
#include "standins/platform_caller.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr Millis kJobTimeout{25'000};
constexpr Millis kConfigTimeout{5'000};

// The owner of a job that has ended tells the others for so long.
constexpr Millis kAnnouncementsOver{3'500};

constexpr int kRestarted = 1;

GatewayRequest MakeCall(int vm,
                        const std::string& method,
                        const std::string& target) {
  GatewayRequest request;
  request.m_vm = vm;
  request.m_method = method;
  request.m_target = target;
  request.m_id = "call";
  request.m_body = "";
  return request;
}

GatewayRequest MakeSubmission(int vm, const std::string& job) {
  GatewayRequest request = MakeCall(vm, "POST", "/batch/x/jobs");
  request.m_id = job;
  request.m_body = PlatformJobBody(job, 2);
  return request;
}

void RunJob(GatewayCluster& cluster, const std::string& job) {
  CHECK(cluster.Call(MakeSubmission(0, job)).m_status == 202);
  const json results = cluster.WaitForResults(0, job, kJobTimeout);
  CHECK(results.value("total", -1) == 2);
}

// Publishes a configuration and waits until it is in force at all VMs. No other
// route has the host that it adds.
void PublishAndWait(GatewayCluster& cluster, int version) {
  const std::string host = Concat("version-", version, ".test");
  cluster.Operator().PublishRoute(version, "mark",
                                  {{"host", host}, {"prefix", "/"}});
  for (int vm = 0; vm < cluster.VmCount(); ++vm) {
    GatewayRequest request = MakeCall(vm, "GET", "/x");
    request.m_host = host;
    CHECK(WaitFor([&] { return cluster.Call(request).m_status == 200; },
                  kConfigTimeout));
  }
}

void Restart(GatewayCluster& cluster) {
  SleepFor(kAnnouncementsOver);
  cluster.Vm(kRestarted).Kill();
  cluster.StartVm(kRestarted);
  cluster.WaitReady(kRestarted);
}

// No upstream may have got a call about a job.
void CheckNoCallRan(GatewayCluster& cluster, const std::string& job) {
  for (int i = 0; i < cluster.EngineCount(); ++i) {
    for (const ReplicaRun& run :
         cluster.Engine(static_cast<size_t>(i)).Runs()) {
      CHECK_FALSE(run.m_path.find(job) != std::string::npos);
      CHECK_FALSE(run.m_request_id == job);
    }
  }
}

// All calls about a job that has ended, at the restarted VM and at another one.
void CheckCalls(GatewayCluster& cluster,
                const std::string& job,
                const std::string& host) {
  for (const int vm : {kRestarted, 0}) {
    CAPTURE(vm);
    GatewayRequest read = MakeCall(vm, "GET", PlatformResultsPath(job));
    read.m_host = host;
    const HttpAnswer answer = cluster.Call(read);
    CHECK(answer.m_status == 200);
    CHECK(json::parse(answer.m_body, nullptr, false).value("next", -1) == 2);
    GatewayRequest body = MakeCall(vm, "GET", PlatformItemPath(job, 1));
    body.m_host = host;
    CHECK(cluster.Call(body).m_status == 404);
    GatewayRequest end = MakeCall(vm, "DELETE", PlatformJobPath(job));
    end.m_host = host;
    CHECK(cluster.Call(end).m_status == 200);
    GatewayRequest again = MakeSubmission(vm, job);
    again.m_host = host;
    CHECK(cluster.Call(again).m_status == 202);
    again.m_key = "key-b";
    CHECK(cluster.Call(again).m_status >= 400);
  }
  CheckNoCallRan(cluster, job);
}

// Returns the number of look-ups of jobs and hosts in the store by a VM.
int64_t CountLookups(GatewayCluster& cluster, int vm) {
  HttpClient http;
  HttpCall call;
  call.m_url = Concat(
      "http://", cluster.MetricsAddress(static_cast<size_t>(vm)).ToString(),
      "/metrics");
  const Result<HttpAnswer> answer = http.Call(call);
  REQUIRE(answer);
  int64_t lookups = 0;
  constexpr std::string_view kMetric = "bronzecross_job_lookups_total{";
  for (size_t at = answer->m_body.find(kMetric); at != std::string::npos;
       at = answer->m_body.find(kMetric, at + 1)) {
    lookups +=
        std::stoll(answer->m_body.substr(answer->m_body.find(' ', at) + 1, 20));
  }
  return lookups;
}

// Guards against calls about a job that are passed on to an upstream because
// the VM doesn't know the job (review case 12).
TEST_CASE("a catch-all route gets no call about a job of a removed route") {
  GatewayCluster cluster(GatewayClusterOptions{});
  RunJob(cluster, "job-1");
  cluster.Operator().PublishRoute(2, "site", {{"prefix", "/"}});
  cluster.Operator().PublishWithoutRoute(3, "batch");
  PublishAndWait(cluster, 4);
  Restart(cluster);
  CheckCalls(cluster, "job-1", "gateway.test");
  // What isn't about a job goes to the route, a repeated submission of a job
  // that doesn't exist as well.
  CHECK(cluster.Call(MakeCall(kRestarted, "GET", "/api/lots/none")).m_status ==
        200);
  CHECK(cluster.Call(MakeSubmission(kRestarted, "none")).m_status == 200);

  // A job without a workspace, and a host without any route.
  cluster.Operator().PublishRoute(5, "batch",
                                  {{"prefix", "/batch/"},
                                   {"kind", "bulk"},
                                   {"dueMs", 20'000},
                                   {"retentionS", 60},
                                   {"cap", 1'000'000},
                                   {"public", true}});
  PublishAndWait(cluster, 6);
  GatewayRequest anonymous = MakeSubmission(0, "job-2");
  anonymous.m_key = "";
  CHECK(cluster.Call(anonymous).m_status == 202);
  RunJob(cluster, "job-3");
  cluster.Operator().PublishWithoutRoute(7, "batch");
  cluster.Operator().PublishWithoutRoute(8, "site");
  PublishAndWait(cluster, 9);
  Restart(cluster);
  CheckCalls(cluster, "job-1", "gateway.test");
  CheckCalls(cluster, "job-3", "gateway.test");
  GatewayRequest read =
      MakeCall(kRestarted, "GET", PlatformResultsPath("job-2"));
  read.m_key = "";
  CHECK(cluster.Call(read).m_status == 200);
  read.m_target = PlatformResultsPath("job-3");
  CHECK(cluster.Call(read).m_status == 401);
  CHECK(cluster.Call(MakeSubmission(kRestarted, "none")).m_status == 404);
}

// Guards against a job that can't be reached by the host that it was submitted
// to, or by the one that its route has moved to.
TEST_CASE("a job follows its route to another host and back") {
  GatewayCluster cluster(GatewayClusterOptions{});
  RunJob(cluster, "job-1");
  cluster.Operator().PublishRoute(2, "site", {{"prefix", "/"}});
  cluster.Operator().PublishRoute(3, "batch", {{"host", "other.test"}});
  PublishAndWait(cluster, 4);
  Restart(cluster);
  CheckCalls(cluster, "job-1", "gateway.test");
  CheckCalls(cluster, "job-1", "other.test");
  // Back again, and with a longer prefix of an ordinary route in its way.
  cluster.Operator().PublishRoute(5, "batch", {{"host", "gateway.test"}});
  cluster.Operator().PublishRoute(6, "site", {{"prefix", "/batch/x/"}});
  PublishAndWait(cluster, 7);
  Restart(cluster);
  CheckCalls(cluster, "job-1", "gateway.test");
}

// Guards against a guess while the store can't tell whether the job exists.
TEST_CASE("without the store, what may be about a job is rejected") {
  GatewayClusterOptions options;
  options.m_store_proxies = true;
  GatewayCluster cluster(options);
  RunJob(cluster, "job-1");
  cluster.Operator().PublishRoute(2, "site", {{"prefix", "/"}});
  cluster.Operator().PublishWithoutRoute(3, "batch");
  PublishAndWait(cluster, 4);
  Restart(cluster);
  PlatformStoreFaults faults;
  faults.m_refuse = true;
  cluster.Store().SetFaults(faults);
  SleepFor(Millis(1'000));
  for (const GatewayRequest& request :
       {MakeCall(kRestarted, "GET", PlatformResultsPath("job-1")),
        MakeCall(kRestarted, "DELETE", PlatformJobPath("job-1")),
        MakeCall(kRestarted, "GET", PlatformItemPath("job-1", 1)),
        MakeSubmission(kRestarted, "job-1")}) {
    const HttpAnswer answer = cluster.Call(request);
    CHECK(answer.m_status == 503);
  }
  CHECK(cluster.Call(MakeCall(kRestarted, "GET", "/anything")).m_status == 200);
  cluster.Store().SetFaults(PlatformStoreFaults());
  CHECK(WaitFor(
      [&] {
        return cluster
                   .Call(MakeCall(kRestarted, "GET",
                                  PlatformResultsPath("job-1")))
                   .m_status == 200;
      },
      kConfigTimeout));
  CheckCalls(cluster, "job-1", "gateway.test");
}

// Guards against ordinary requests that cost a call to the store each.
TEST_CASE("requests whose paths only look like calls cost few look-ups") {
  GatewayCluster cluster(GatewayClusterOptions{});
  RunJob(cluster, "job-1");
  cluster.Operator().PublishRoute(2, "site", {{"prefix", "/"}});
  cluster.Operator().PublishRoute(3, "shop",
                                  {{"host", "shop.test"}, {"prefix", "/"}});
  cluster.Operator().PublishWithoutRoute(4, "batch");
  PublishAndWait(cluster, 5);
  Restart(cluster);
  constexpr int kRequests = 1'000;
  const Millis began = MonotonicNow();
  for (int i = 0; i < kRequests; ++i) {
    // Always the same one where jobs were accepted, and ever other ones where
    // none ever was.
    GatewayRequest request = MakeCall(kRestarted, "GET", "/api/lots/none");
    request.m_id = Concat("r", i);
    CHECK(cluster.Call(request).m_status == 200);
    request.m_host = "shop.test";
    request.m_target = Concat("/api/items/", i, "?id=3");
    CHECK(cluster.Call(request).m_status == 200);
  }
  // The list of hosts and the one job are read again at times.
  const int64_t seconds = (MonotonicNow() - began).count() / 1'000 + 1;
  CHECK(CountLookups(cluster, kRestarted) <= 2 * (3 + seconds));
}

}  // namespace
}  // namespace bronzecross
