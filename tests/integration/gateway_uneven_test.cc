// Engines near their memory limit, and upstreams that report that their machine
// is slow.

#include <doctest/doctest.h>

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
// free slots, also if another VM sent the others.
TEST_CASE("a request waits until its tokens fit into an engine's memory") {
  constexpr Millis kEventGap{50};
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
  std::vector<int> statuses(4, 0);
  std::vector<std::thread> callers;
  for (int i = 0; i < 4; ++i) {
    callers.emplace_back([&cluster, &statuses, i] {
      GatewayRequest request = MakeRequest(i % 2, "/stream/x", Concat("m", i));
      request.m_headers = {{"Token-Count", "5000,1000"}};
      statuses[static_cast<size_t>(i)] = cluster.Call(request).m_status;
    });
    SleepFor(Millis(250));
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK(statuses == std::vector<int>(4, 200));
  for (size_t engine = 0; engine < 2; ++engine) {
    const std::vector<ReplicaRun> runs = cluster.Engine(engine).Runs();
    CHECK(runs.size() == 2);
    for (size_t i = 1; i < runs.size(); ++i) {
      CHECK(runs[i].m_at - runs[i - 1].m_at >= kEventGap * (kEvents - 1));
    }
  }
}

TEST_CASE("an upstream whose machine is slow at present gets few requests") {
  GatewayClusterOptions options;
  options.m_vms = 1;
  GatewayCluster cluster(options);
  std::vector<std::unique_ptr<RawReplicaStandin>> raw;
  for (const int percent : {400, 100}) {
    RawReplicaScript script;
    script.m_begin = Concat(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\n"
        "Server-Load: 1,0,8,",
        percent, "\r\nContent-Length: 2\r\n\r\nok");
    script.m_later = script.m_begin;
    raw.push_back(std::make_unique<RawReplicaStandin>(script));
    cluster.Engine(raw.size() - 1).SetListedAddress(raw.back()->Address());
    cluster.Engine(raw.size() - 1).Register("ready");
  }
  CHECK(WaitFor([&] {
    cluster.Call(MakeRequest(0, "/once/x", "first"));
    return raw[0]->Requests() > 0 && raw[1]->Requests() > 0;
  }));
  const int slow_before = raw[0]->Requests();
  for (int i = 0; i < 40; ++i) {
    const GatewayRequest request = MakeRequest(0, "/once/x", Concat("u", i));
    CHECK(cluster.Call(request).m_status == 200);
  }
  CHECK(raw[0]->Requests() - slow_before < 10);
}

}  // namespace
}  // namespace bronzecross
