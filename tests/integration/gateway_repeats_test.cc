// Requests whose answers replicas lose, on routes of each kind and with fields
// that only mean something for other kinds, at real gateway processes.

#include <doctest/doctest.h>

#include <map>
#include <thread>

#include "base/text.h"
#include "harness/cluster.h"
#include "harness/gateway_cluster.h"

namespace bronzecross {
namespace {

constexpr int kRequests = 20;

struct RouteCase {
  std::string m_name;
  std::string m_kind;
  std::string m_target;
  bool m_may_run_again = false;
};

// Returns how often each request ran.
std::map<std::string, int> CountRuns(GatewayCluster& cluster) {
  std::map<std::string, int> runs;
  for (int i = 0; i < cluster.EngineCount(); ++i) {
    for (const ReplicaRun& run : cluster.Engine(i).Runs()) {
      ++runs[run.m_request_id];
    }
  }
  return runs;
}

// Longer than an upstream is ejected after failures.
constexpr Millis kEjectionEnd{2'200};

// Guards against a request that isn't idempotent and runs again because of a
// field of its route that the kind of route gives no meaning (review case 9).
TEST_CASE("a lost answer is only repeated where the kind of route allows it") {
  const std::vector<RouteCase> routes = {
      {"a", "idempotent", "/a/x", true},
      {"b", "non_idempotent", "/b/x", false},
      {"c", "non_idempotent", "/c/stream", false},
      {"d", "streaming", "/d/stream", true},
      {"e", "streaming", "/e/x", true}};
  GatewayCluster cluster(GatewayClusterOptions{});
  int version = 1;
  for (const RouteCase& route : routes) {
    cluster.Operator().PublishRoute(++version, route.m_name,
                                    {{"prefix", Concat("/", route.m_name, "/")},
                                     {"kind", route.m_kind},
                                     {"resumable", true},
                                     {"gapAimMs", 100},
                                     {"dueMs", 1'000},
                                     {"targetLatencyMs", 30}});
  }
  CHECK(WaitFor([&] {
    return cluster.Call({.m_target = "/e/x", .m_id = "ready"}).m_status == 200;
  }));
  for (const RouteCase& route : routes) {
    for (const bool is_silent : {false, true}) {
      CAPTURE(route.m_name);
      CAPTURE(is_silent);
      SleepFor(kEjectionEnd);
      PlatformReplicaFaults faults;
      faults.m_break_after = is_silent ? -1 : 0;
      faults.m_silent = is_silent;
      cluster.Engine(0).SetFaults(faults);
      cluster.Engine(1).SetFaults(faults);
      std::vector<std::thread> callers;
      for (int i = 0; i < kRequests; ++i) {
        callers.emplace_back([&, i] {
          GatewayRequest request;
          request.m_target = route.m_target;
          request.m_id = Concat(route.m_name, is_silent ? "-silent-" : "-", i);
          // A request that breaks answers again and again is blocked.
          request.m_body = request.m_id;
          request.m_deadline_ms = 1'500;
          cluster.Call(request);
        });
      }
      for (std::thread& caller : callers) {
        caller.join();
      }
      int most = 0;
      for (const auto& [id, runs] : CountRuns(cluster)) {
        if (id.starts_with(Concat(route.m_name, "-"))) {
          most = std::max(most, runs);
        }
      }
      CHECK(most >= 1);
      if (!route.m_may_run_again) {
        CHECK(most == 1);
      } else if (!is_silent) {
        CHECK(most > 1);
      }
    }
  }
}

}  // namespace
}  // namespace bronzecross
