// Engines near their memory limit, and upstreams that report that their machine
// is slow.

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <thread>
#include <vector>

#include "base/text.h"
#include "harness/cluster.h"
#include "harness/gateway_cluster.h"
#include "standins/raw_replica_standin.h"

namespace bronzecross {
namespace {

GatewayRequest MakeRequest(int vm,
                           const std::string& target,
                           const std::string& id) {
  GatewayRequest request;
  request.m_vm = vm;
  request.m_target = target;
  request.m_id = id;
  return request;
}

// Guards against requests that take an engine beyond its memory while it has
// free slots, also if another VM sent the others, and against large requests
// that hold up a small one.
TEST_CASE("a request waits until its tokens fit into an engine's memory") {
  constexpr Millis kEventGap{60};
  constexpr int kEvents = 20;
  GatewayClusterOptions options;
  options.m_engine.m_events = kEvents;
  options.m_engine.m_event_gap = kEventGap;
  GatewayCluster cluster(options);
  cluster.Operator().PublishMemory(2, 10'000);
  for (size_t vm = 0; vm < 2; ++vm) {
    CHECK(WaitFor([&] {
      return cluster.LogOf(vm).find("A configuration is in force. version=2") !=
             std::string::npos;
    }));
  }
  // The first two run, the next two wait, and the last one fits beside.
  const std::vector<std::string> tokens = {"5000,1000", "5000,1000",
                                           "5000,1000", "5000,1000", "500,100"};
  std::vector<int> statuses(tokens.size(), 0);
  std::vector<std::thread> callers;
  for (size_t i = 0; i < tokens.size(); ++i) {
    callers.emplace_back([&cluster, &statuses, &tokens, i] {
      GatewayRequest request =
          MakeRequest(static_cast<int>(i % 2), "/stream/x", Concat("m", i));
      request.m_headers = {{"Token-Count", tokens[i]}};
      statuses[i] = cluster.Call(request).m_status;
    });
    SleepFor(Millis(180));
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK(statuses == std::vector<int>(tokens.size(), 200));
  Millis small_at = Millis(INT64_MAX);
  Millis first_waiting_at = Millis(INT64_MAX);
  for (size_t engine = 0; engine < 2; ++engine) {
    std::vector<ReplicaRun> runs = cluster.Engine(engine).Runs();
    const auto small = std::find_if(
        runs.begin(), runs.end(),
        [](const ReplicaRun& run) { return run.m_request_id == "m4"; });
    if (small != runs.end()) {
      small_at = small->m_at;
      runs.erase(small);
    }
    CAPTURE(cluster.LogOf(0));
    CAPTURE(cluster.LogOf(1));
    REQUIRE(runs.size() == 2);
    CHECK(runs[1].m_at - runs[0].m_at >= kEventGap * (kEvents - 1));
    first_waiting_at = std::min(first_waiting_at, runs[1].m_at);
  }
  CHECK(small_at < first_waiting_at);
}

// Sends streams one after the other to two upstreams that differ only in the
// pace that they report; they are too short to be measured. Returns how many
// reach the first one.
int CountAtFirst(const std::vector<int>& percents, int requests) {
  GatewayClusterOptions options;
  options.m_vms = 1;
  GatewayCluster cluster(options);
  std::vector<std::unique_ptr<RawReplicaStandin>> raw;
  for (const int percent : percents) {
    RawReplicaScript script;
    script.m_begin = Concat(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\n"
        "Content-Type: text/event-stream\r\nServer-Load: 1,0,8,",
        percent, "\r\nContent-Length: 15\r\n\r\nid: 1\ndata: o\n\n");
    script.m_later = script.m_begin;
    raw.push_back(std::make_unique<RawReplicaStandin>(script));
    cluster.Engine(raw.size() - 1).SetListedAddress(raw.back()->Address());
    cluster.Engine(raw.size() - 1).Register("ready");
  }
  int sent = 0;
  CHECK(WaitFor([&] {
    cluster.Call(MakeRequest(0, "/stream/x", Concat("first-", ++sent)));
    return raw[0]->Requests() > 0 && raw[1]->Requests() > 0;
  }));
  const int before = raw[0]->Requests();
  for (int i = 0; i < requests; ++i) {
    const GatewayRequest request = MakeRequest(0, "/stream/x", Concat("u", i));
    CHECK(cluster.Call(request).m_status == 200);
  }
  return raw[0]->Requests() - before;
}

// Guards against reports that are decoded but reach no decision.
TEST_CASE("an upstream whose machine is slow at present gets few requests") {
  constexpr int kRequests = 40;
  const int at_slow = CountAtFirst({400, 100}, kRequests);
  const int at_usual = CountAtFirst({100, 400}, kRequests);
  CAPTURE(at_slow);
  CAPTURE(at_usual);
  CHECK(at_slow < kRequests / 4);
  CHECK(kRequests - at_usual < kRequests / 4);
}

}  // namespace
}  // namespace bronzecross
