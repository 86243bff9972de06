// A request that crashes every engine that runs it is refused before the fleet
// is empty; the requests that ran beside it are not.

#include <atomic>
#include <thread>

#include <doctest/doctest.h>

#include "harness/cluster.h"

namespace bronzecross {
namespace {

constexpr int kEngines = 6;
constexpr int kInnocents = 12;

int LiveEngines(Cluster& cluster) {
  int live = 0;
  for (int i = 0; i < kEngines; ++i) {
    live += cluster.Engine(static_cast<size_t>(i)).IsRunning() ? 1 : 0;
  }
  return live;
}

ChatRequest Request(Cluster& cluster, int vm, const std::string& prompt) {
  ChatRequest request;
  request.m_url = cluster.Url(vm);
  request.m_key = Cluster::Key(0);
  request.m_prompt = prompt;
  return request;
}

}  // namespace

TEST_CASE("a crash request is refused after few deaths, innocents are served") {
  ClusterOptions options;
  options.m_engines.resize(kEngines);
  // The limiter's buckets start empty and are not tested here.
  options.m_rate_per_s = 1e6;
  options.m_burst = 1e6;
  for (EngineOptions& engine : options.m_engines) {
    engine.m_slots = 4;
    engine.m_prefill = Millis(300);
    engine.m_cached_prefill = Millis(300);
  }
  Cluster cluster(options);
  // The limiter of a new VM refuses until it holds its slots.
  for (int vm = 0; vm < cluster.VmCount(); ++vm) {
    REQUIRE(WaitFor([&] {
      return cluster.Caller().Chat(Request(cluster, vm, "warm")).m_correct;
    }));
  }
  std::atomic<int> served = 0;
  std::vector<std::thread> innocents;
  for (int i = 0; i < kInnocents; ++i) {
    innocents.emplace_back([&, i] {
      ChatRequest request =
          Request(cluster, i % 3, "innocent " + std::to_string(i));
      request.m_stream = i % 2 == 0;
      const ChatOutcome innocent = cluster.Caller().Chat(request);
      CHECK(innocent.m_error_code == "");
      served += innocent.m_correct ? 1 : 0;
    });
  }
  SleepFor(Millis(50));
  const std::string prompt = std::string(kCrashMark) + " now";
  ChatOutcome outcome;
  // The caller sends it again at each VM in turn.
  for (int vm = 0; vm < cluster.VmCount(); ++vm) {
    outcome = cluster.Caller().Chat(Request(cluster, vm, prompt));
  }
  for (std::thread& innocent : innocents) {
    innocent.join();
  }
  CHECK(outcome.m_status == 422);
  CHECK(outcome.m_error_code == "poisoned_request");
  CHECK(outcome.m_run == "not_run");
  CHECK(served == kInnocents);
  CHECK(LiveEngines(cluster) >= kEngines - 3);
}

}  // namespace bronzecross
