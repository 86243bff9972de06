// Graceful shutdown: no request is cut, whatever connection it comes on.

#include <signal.h>

#include <atomic>
#include <thread>

#include <doctest/doctest.h>

#include "harness/cluster.h"
#include "harness/upstream_proxies.h"
#include "standins/raw_replica_standin.h"

namespace bronzecross {
namespace {

ClusterOptions DrainOptions(int64_t notice_ms) {
  ClusterOptions options;
  options.m_settings = "[drain]\nnotice_ms = " + std::to_string(notice_ms);
  return options;
}

ChatOutcome Chat(TestCaller& caller, const std::string& url, int64_t tokens) {
  ChatRequest request;
  request.m_url = url;
  request.m_key = Cluster::Key(0);
  request.m_prompt = "hello";
  request.m_tokens = tokens;
  request.m_stream = true;
  return caller.Chat(request);
}

}  // namespace

// Guards against a stream that is cut by the first signal, the second one or
// the end of the notice time, and against a wrong exit status.
TEST_CASE("a stream ends whole though SIGTERM comes twice") {
  ClusterOptions options = DrainOptions(200);
  for (EngineOptions& engine : options.m_engines) {
    engine.m_token_interval = Millis(20);
  }
  Cluster cluster(options);
  ChatOutcome outcome;
  std::thread caller(
      [&] { outcome = Chat(cluster.Caller(), cluster.Url(0), 150); });
  CHECK(WaitFor([&] {
    return cluster.Engine(0).Started() + cluster.Engine(1).Started() +
               cluster.Engine(2).Started() ==
           1;
  }));
  cluster.Vm(0).Signal(SIGTERM);
  SleepFor(Millis(500));
  cluster.Vm(0).Signal(SIGTERM);
  cluster.Vm(0).Signal(SIGINT);
  caller.join();
  CHECK(outcome.m_status == 200);
  CHECK(outcome.m_correct);
  CHECK(cluster.Vm(0).Wait(Millis(20'000)) == 0);
}

// Guards against idle connections that are closed while the balancer still may
// use them, and against a readiness that does not tell.
TEST_CASE("an idle connection is served until the notice has passed") {
  Cluster cluster(DrainOptions(1500));
  TestCaller caller;
  // Leaves one idle connection to the VM.
  CHECK(Chat(caller, cluster.Url(0), 2).m_correct);
  cluster.Vm(0).Signal(SIGTERM);
  CHECK(WaitFor([&] {
    const Result<HttpAnswer> ready =
        cluster.Caller().Call("GET", cluster.AdminUrl(0) + "/readyz", "");
    return ready && ready->m_status == 503;
  }));
  const Result<HttpAnswer> answer =
      caller.Call("GET", cluster.Url(0) + "/v1/models", Cluster::Key(0));
  REQUIRE(answer.has_value());
  CHECK(answer->m_status == 200);
  CHECK(FindHeader(answer->m_headers, "Connection") == "close");
  // The other VMs learn of it and keep it out of new work.
  CHECK(WaitFor([&] {
    const nlohmann::json status = cluster.Status(1);
    for (const nlohmann::json& member : status["members"]) {
      if (member["id"] == Cluster::VmId(0)) {
        return member["leaving"] == true;
      }
    }
    return false;
  }));
  CHECK(cluster.Vm(0).Wait(Millis(20'000)) == 0);
}

// Guards against a request that a draining VM takes on a kept connection and
// cuts at the end of the drain.
TEST_CASE("a request that outlasts the drain is answered") {
  ClusterOptions options = DrainOptions(200);
  options.m_settings += "\ntimeout_ms = 2500";
  options.m_vms = 1;
  options.m_data_vms = 1;
  Cluster cluster(options);
  UpstreamProxies proxies(cluster);
  RawReplicaStandin silent(RawReplicaScript{});
  proxies.Of("service-0").SetTarget(silent.Address());
  const std::string models = cluster.Url(0) + "/v1/models";
  std::vector<Result<HttpAnswer>> answers(
      4, tl::unexpected<Error>(Error{ResultCode::kInternal, "not sent"}));
  std::vector<std::thread> callers;
  for (size_t i = 0; i < answers.size(); ++i) {
    callers.emplace_back([&, i] {
      TestCaller caller;
      CHECK(caller.Call("GET", models, Cluster::Key(0)));
      SleepFor(Millis(600 + 200 * static_cast<int64_t>(i)));
      answers[i] = caller.Call("POST", cluster.Url(0) + "/desk/receipts",
                               Cluster::Key(0), "r" + std::to_string(i));
    });
  }
  SleepFor(Millis(200));
  cluster.Vm(0).Signal(SIGTERM);
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (const Result<HttpAnswer>& answer : answers) {
    REQUIRE(answer.has_value());
    CHECK(answer->m_status >= 500);
  }
  CHECK(silent.Requests() > 0);
  CHECK(cluster.Vm(0).Wait(Millis(20'000)) == 0);
}

// Guards against a shutdown that waits for a store which is away.
TEST_CASE("a VM drains with status 0 during a store outage") {
  Cluster cluster(DrainOptions(50));
  KvFaults outage;
  outage.m_outage = true;
  cluster.Kv().SetFaults(outage);
  cluster.Vm(0).Signal(SIGTERM);
  CHECK(cluster.Vm(0).Wait(Millis(20'000)) == 0);
}

}  // namespace bronzecross
