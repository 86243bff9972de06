// Upstreams that change halves while the old half's holder dies.

#include <doctest/doctest.h>

#include "harness/cluster.h"
#include "orders/order_record.h"

namespace bronzecross {
namespace {

constexpr Millis kSettle{40'000};

// The record of a half's holder; empty VM name: none yet.
OrderRecord RecordOf(Cluster& cluster, const std::string& half) {
  return DecodeOrderRecord(cluster.Kv().Get("/bronzecross/orders/half/" + half))
      .value_or(OrderRecord());
}

// When the half first had an order accepted; zero: never.
Millis FirstOrder(Cluster& cluster, size_t engine, const std::string& half) {
  for (const EngineStandin::Order& order : cluster.Engine(engine).Orders()) {
    if (order.m_accepted && order.m_issuer.starts_with(half + "/")) {
      return order.m_at;
    }
  }
  return Millis(0);
}

// Moves all engines to the south half with a new version while the north half's
// holder is killed or paused, and checks who ordered.
void CheckHandover(bool kill) {
  ClusterOptions options;
  options.m_vms = 4;
  options.m_vm_halves = {"north", "north", "south", "south"};
  options.m_engines[1].m_checks_fencing = false;
  options.m_engines[2].m_checks_fencing = false;
  Cluster cluster(options);
  for (UpstreamSpec& upstream : cluster.GetManifest().m_upstreams) {
    upstream.m_half = "north";
  }
  cluster.GetManifest().m_max_loads = 3;
  cluster.Publish();
  REQUIRE(WaitFor([&] {
    return !RecordOf(cluster, "north").m_vm.empty() &&
           !RecordOf(cluster, "south").m_vm.empty();
  }));
  // The holder is in the middle of loads when it is stopped.
  cluster.GetManifest().m_models[0].m_version = "v2";
  cluster.GetManifest().m_models[0].m_min_ready = 0;
  cluster.Publish();
  CHECK(WaitFor([&] { return !RecordOf(cluster, "north").m_loads.empty(); }));
  const int holder = RecordOf(cluster, "north").m_vm.back() - '0';
  kill ? cluster.Vm(holder).Kill() : cluster.Vm(holder).Pause();
  for (UpstreamSpec& upstream : cluster.GetManifest().m_upstreams) {
    upstream.m_half = "south";
  }
  cluster.GetManifest().m_models[0].m_version = "v3";
  cluster.Publish();
  CHECK(WaitFor([&] { return FirstOrder(cluster, 1, "south") != Millis(0); },
                kSettle));
  cluster.Vm(holder).Resume();
  CHECK(WaitFor(
      [&] {
        for (size_t engine = 0; engine < cluster.EngineCount(); ++engine) {
          if (cluster.Engine(engine).Version() != "v3" ||
              cluster.Engine(engine).IsLoading()) {
            return false;
          }
        }
        return true;
      },
      kSettle));
  for (size_t engine = 0; engine < cluster.EngineCount(); ++engine) {
    const Millis first = FirstOrder(cluster, engine, "south");
    CHECK(first != Millis(0));
    for (const EngineStandin::Order& order : cluster.Engine(engine).Orders()) {
      CHECK((order.m_at <= first || !order.m_accepted ||
             order.m_issuer.starts_with("south/")));
    }
  }
}

}  // namespace

// Guards against two halves that order on one upstream at the same time, and
// against a hand-over that hangs because the old holder is gone.
TEST_CASE("a dead holder's upstreams pass to the new half, and only once") {
  CheckHandover(true);
}

// Guards against a holder that wakes up, renews its lease and goes on ordering.
TEST_CASE("a paused holder's upstreams pass to the new half, and only once") {
  CheckHandover(false);
}

// Guards against a version change that leaves no replica, or loads more at once
// than the manifest allows.
TEST_CASE("a new version keeps the minimum ready and serves all along") {
  ClusterOptions options;
  options.m_engines.assign(4, EngineOptions());
  Cluster cluster(options);
  cluster.GetManifest().m_models[0].m_min_ready = 3;
  cluster.GetManifest().m_models[0].m_version = "v2";
  cluster.GetManifest().m_max_loads = 2;
  cluster.Publish();
  int64_t most_loading = 0;
  int64_t sent = 0;
  CHECK(WaitFor(
      [&] {
        int64_t loading = 0;
        bool all = true;
        for (size_t engine = 0; engine < 4; ++engine) {
          loading += cluster.Engine(engine).IsLoading() ? 1 : 0;
          all = all && cluster.Engine(engine).Version() == "v2";
        }
        most_loading = std::max(most_loading, loading);
        ChatRequest request;
        request.m_url = cluster.Url(static_cast<int>(sent % 3));
        request.m_key = Cluster::Key(0);
        request.m_prompt = "during the rollout " + std::to_string(sent++);
        CHECK(cluster.Caller().Chat(request).m_correct);
        return all && loading == 0;
      },
      kSettle));
  // Of 4 replicas 3 must stay ready.
  CHECK(most_loading == 1);
}

}  // namespace bronzecross
