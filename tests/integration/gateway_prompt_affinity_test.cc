// Requests of sessions that arrive at several VMs, among real gateway
// processes: with prompt affinity they go to the engine that read the session's
// prompt before.

#include <doctest/doctest.h>

#include <algorithm>

#include "base/text.h"
#include "harness/cluster.h"
#include "harness/gateway_cluster.h"

namespace bronzecross {
namespace {

constexpr size_t kEngines = 3;
constexpr int kSessions = 12;

// Several gossip intervals.
constexpr Millis kSpreadTime{1'000};

GatewayClusterOptions Options() {
  GatewayClusterOptions options;
  options.m_engines = kEngines;
  options.m_prompt_affinity = true;
  // Long beside the delays of a busy machine: an engine that seems slow gets
  // fewer requests, whatever it holds.
  options.m_engine.m_event_gap = Millis(60);
  return options;
}

// Returns the engine that ran the request `id`, or -1.
int EngineOf(GatewayCluster& cluster, const std::string& id) {
  for (size_t i = 0; i < kEngines; ++i) {
    for (const ReplicaRun& run : cluster.Engine(i).Runs()) {
      if (run.m_request_id == id) {
        return static_cast<int>(i);
      }
    }
  }
  return -1;
}

// Sends a request of each session to `vm`. Returns the engine that ran each.
std::vector<int> CallSessions(GatewayCluster& cluster,
                              int vm,
                              const std::string& name) {
  std::vector<int> engines;
  for (int session = 0; session < kSessions; ++session) {
    GatewayRequest request;
    request.m_vm = vm;
    request.m_target = "/stream/x";
    request.m_id = Concat(name, session);
    request.m_headers = {{"Prompt-Prefix", Concat("session-", session, ":4000,",
                                                  name, session, ":250")}};
    CHECK(cluster.Call(request).m_status == 200);
    engines.push_back(EngineOf(cluster, request.m_id));
    CHECK(engines.back() >= 0);
  }
  return engines;
}

int CountEqual(const std::vector<int>& a, const std::vector<int>& b) {
  int equal = 0;
  for (size_t i = 0; i < a.size(); ++i) {
    equal += a[i] == b[i] ? 1 : 0;
  }
  return equal;
}

// Guards against knowledge that stays at the VM that sent the request.
TEST_CASE("a session's request at another VM goes to the engine of the first") {
  GatewayCluster cluster(Options());
  const std::vector<int> first = CallSessions(cluster, 0, "first-");
  SleepFor(kSpreadTime);
  // Without affinity about a third would.
  CHECK(CountEqual(first, CallSessions(cluster, 1, "second-")) >= 9);
}

// Guards against requests that are lost, or that wait for the engine, when the
// engine that holds a prompt has crashed.
TEST_CASE("the sessions of a crashed engine go to others, and stay there") {
  GatewayCluster cluster(Options());
  CallSessions(cluster, 0, "first-");
  SleepFor(kSpreadTime);
  cluster.Engine(0).Crash();
  cluster.Engine(0).Unregister();
  SleepFor(kSpreadTime);
  const std::vector<int> second = CallSessions(cluster, 1, "second-");
  CHECK(std::count(second.begin(), second.end(), 0) == 0);
  SleepFor(kSpreadTime);
  CHECK(CountEqual(second, CallSessions(cluster, 0, "third-")) >= 9);
}

}  // namespace
}  // namespace bronzecross
