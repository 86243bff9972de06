// Configuration from the store to every VM under faults: withdrawn keys, VMs
// without the store, stale VMs, starts during an outage, races of publishers.

#include <sys/wait.h>

#include <fstream>
#include <thread>

#include <doctest/doctest.h>

#include "config/manifest.h"
#include "harness/cluster.h"

namespace bronzecross {
namespace {

using nlohmann::json;

ProxyFaults CutOff() {
  ProxyFaults faults;
  faults.m_refuse = true;
  faults.m_drop_forward = true;
  faults.m_drop_backward = true;
  return faults;
}

void Partition(Cluster& cluster, int vm, const ProxyFaults& faults) {
  for (int other = 0; other < cluster.VmCount(); ++other) {
    if (other != vm) {
      cluster.PeerProxy(vm, other).SetFaults(faults);
      cluster.PeerProxy(other, vm).SetFaults(faults);
    }
  }
}

bool HasGeneration(Cluster& cluster, int vm, int64_t generation) {
  const json status = cluster.Status(vm);
  return status.is_object() && status["generation"] == generation;
}

int ModelsStatus(Cluster& cluster, int vm, int workspace) {
  const Result<HttpAnswer> answer = cluster.Caller().Call(
      "GET", cluster.Url(vm) + "/v1/models", Cluster::Key(workspace));
  return answer ? answer->m_status : 0;
}

struct CtlResult {
  int m_status = 0;
  std::string m_text;
};

CtlResult RunCtl(const std::string& arguments) {
  CtlResult result;
  FILE* pipe = popen(
      (std::string(BRONZECROSS_CTL) + " " + arguments + " 2>&1").c_str(), "r");
  char block[4096];
  for (size_t got = 0; (got = fread(block, 1, sizeof(block), pipe)) > 0;) {
    result.m_text.append(block, got);
  }
  result.m_status = WEXITSTATUS(pclose(pipe));
  return result;
}

}  // namespace

// Guards against watchers on every VM, and against a VM without the store that
// keeps a withdrawn key.
TEST_CASE("three VMs watch and a VM without the store learns from peers") {
  ClusterOptions options;
  options.m_vms = 5;
  options.m_proxies = true;
  Cluster cluster(options);
  const auto watchers = [&] {
    int count = 0;
    for (int vm = 0; vm < 5; ++vm) {
      count += cluster.Status(vm)["config"]["watching"] == true ? 1 : 0;
    }
    return count;
  };
  CHECK(WaitFor([&] { return watchers() == 3; }));
  // The watchers lose the store: the other VMs take their place.
  std::vector<int> lost;
  for (int vm = 0; vm < 5; ++vm) {
    if (cluster.Status(vm)["config"]["watching"] == true && lost.size() < 2) {
      lost.push_back(vm);
      cluster.StoreProxy(vm).SetFaults(CutOff());
      cluster.StoreProxy(vm).CutAll();
    }
  }
  REQUIRE(lost.size() == 2);
  cluster.GetManifest().m_keys[0].m_withdrawn = true;
  const int64_t generation = cluster.Publish();
  for (int vm = 0; vm < 5; ++vm) {
    CHECK(WaitFor([&] { return HasGeneration(cluster, vm, generation); }));
    CHECK(ModelsStatus(cluster, vm, 0) == 401);
    CHECK(ModelsStatus(cluster, vm, 1) == 200);
  }
  CHECK(WaitFor([&] { return watchers() == 3; }));
}

// Guards against a silent stream that outlives its key.
TEST_CASE("a withdrawn key ends an open stream on which nothing is sent") {
  ClusterOptions options;
  for (EngineOptions& engine : options.m_engines) {
    engine.m_prefill = Millis(20'000);
    engine.m_cached_prefill = engine.m_prefill;
  }
  Cluster cluster(options);
  for (const bool stream : {true, false}) {
    const int workspace = stream ? 0 : 1;
    ChatOutcome outcome;
    std::thread caller([&] {
      ChatRequest request;
      request.m_url = cluster.Url(0);
      request.m_key = Cluster::Key(workspace);
      request.m_prompt = "slow";
      request.m_stream = stream;
      outcome = cluster.Caller().Chat(request);
    });
    const int64_t started = stream ? 1 : 2;
    const auto total = [&] {
      return cluster.Engine(0).Started() + cluster.Engine(1).Started() +
             cluster.Engine(2).Started();
    };
    CHECK(WaitFor([&] { return total() == started; }));
    cluster.GetManifest().m_keys[static_cast<size_t>(workspace)].m_withdrawn =
        true;
    cluster.Publish();
    caller.join();
    CHECK_FALSE(outcome.m_correct);
    CHECK(total() == started);
    if (!stream) {
      CHECK(outcome.m_error_code == "invalid_key");
      CHECK(outcome.m_run == "unknown");
    }
  }
}

// Guards against a VM that serves keys which it cannot know to be valid, and
// against one that never serves again.
TEST_CASE(
    "a VM cut off from everything refuses keyed requests, then recovers") {
  ClusterOptions options;
  options.m_proxies = true;
  Cluster cluster(options);
  Partition(cluster, 2, CutOff());
  cluster.StoreProxy(2).SetFaults(CutOff());
  cluster.StoreProxy(2).CutAll();
  Result<HttpAnswer> refusal;
  CHECK(WaitFor([&] {
    refusal = cluster.Caller().Call("GET", cluster.Url(2) + "/v1/models",
                                    Cluster::Key(0));
    return refusal && refusal->m_status == 503;
  }));
  CHECK(FindHeader(refusal->m_headers, "X-Bronzecross-Run") == "not_run");
  CHECK(json::parse(refusal->m_body)["error"]["code"] == "stale_config");
  CHECK(cluster.Caller()
            .Call("GET", cluster.Url(2) + "/desk/open", "")
            ->m_status == 200);
  CHECK(ModelsStatus(cluster, 0, 0) == 200);
  Partition(cluster, 2, {});
  CHECK(WaitFor([&] { return ModelsStatus(cluster, 2, 0) == 200; }));
}

// Guards against online work that depends on the store, against a VM that
// starts without it with an older manifest, and against serving from the cache
// alone.
TEST_CASE(
    "during an outage VMs serve, and started ones ask peers, then cache") {
  ClusterOptions options;
  options.m_proxies = true;
  Cluster cluster(options);
  const int64_t old = cluster.GetManifest().m_generation;
  cluster.Vm(2).Kill();
  cluster.GetManifest().m_keys[0].m_withdrawn = true;
  const int64_t generation = cluster.Publish();
  CHECK(generation == old + 1);
  CHECK(WaitFor([&] {
    return HasGeneration(cluster, 0, generation) &&
           HasGeneration(cluster, 1, generation);
  }));
  KvFaults outage;
  outage.m_outage = true;
  cluster.Kv().SetFaults(outage);
  // Cached: the old generation. Peers: the new one.
  cluster.StartVm(2);
  CHECK(cluster.WaitReady(2));
  CHECK(HasGeneration(cluster, 2, generation));
  for (int vm = 0; vm < 3; ++vm) {
    CHECK(ModelsStatus(cluster, vm, 1) == 200);
    CHECK(ModelsStatus(cluster, vm, 0) == 401);
  }
  // Alone, it has the cached manifest but must not serve keys from it.
  cluster.Vm(2).Kill();
  Partition(cluster, 2, CutOff());
  cluster.StartVm(2);
  CHECK(WaitFor([&] { return HasGeneration(cluster, 2, generation); }));
  CHECK(ModelsStatus(cluster, 2, 1) == 503);
  Partition(cluster, 2, {});
  CHECK(WaitFor([&] { return ModelsStatus(cluster, 2, 1) == 200; }));
}

// Guards against a publication reported as failed that took effect, and
// against two winners of a race.
TEST_CASE("lost answers are read back and a race has one winner") {
  Cluster cluster({});
  const std::string path = cluster.Folder() + "/manifest.toml";
  std::ofstream(path) << "halves = []\n[[workspace]]\nname = \"w\"\n"
                         "rate_per_s = 1.0\nburst = 1.0\n";
  const std::string store = "--store " + cluster.Kv().Url() + " ";
  KvFaults faults;
  faults.m_lose_answers = 1;
  cluster.Kv().SetFaults(faults);
  const CtlResult published = RunCtl(store + "publish " + path);
  CHECK(published.m_status == 0);
  CHECK(published.m_text.find("published generation 2") != std::string::npos);
  for (const double lose : {0.0, 1.0}) {
    // The delay makes both publishers read before either writes.
    faults.m_lose_answers = lose;
    faults.m_delay = Millis(300);
    cluster.Kv().SetFaults(faults);
    std::vector<CtlResult> results(2);
    std::thread other([&] { results[1] = RunCtl(store + "publish " + path); });
    results[0] = RunCtl(store + "publish " + path);
    other.join();
    const size_t loser = results[0].m_status == 0 ? 1 : 0;
    CHECK(results[1 - loser].m_status == 0);
    CHECK(results[loser].m_status == 3);
    CHECK(results[loser].m_text.find("conflict") != std::string::npos);
  }
  cluster.Kv().SetFaults({});
  for (int vm = 0; vm < 3; ++vm) {
    CHECK(WaitFor([&] { return HasGeneration(cluster, vm, 4); }));
  }
}

}  // namespace bronzecross
