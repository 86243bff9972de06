// Loss and return of VMs, leaving VMs and upstreams, among real processes.

#include <signal.h>

#include <doctest/doctest.h>

#include "harness/cluster.h"
#include "peers/message.h"
#include "peers/peer_client.h"

namespace bronzecross {
namespace {

using nlohmann::json;

bool Sees(Cluster& cluster, int viewer, int target) {
  const json status = cluster.Status(viewer);
  if (!status.is_object()) {
    return false;
  }
  const json& live = status["live"];
  return std::find(live.begin(), live.end(), Cluster::VmId(target)) !=
         live.end();
}

}  // namespace

// Guards against a dead VM that keeps its place, and against a restarted VM
// that the others go on taking for its earlier run.
TEST_CASE("a lost VM is noticed and its next run replaces it") {
  ClusterOptions options;
  options.m_proxies = true;
  Cluster cluster(options);
  cluster.Vm(1).Kill();
  CHECK(WaitFor([&] { return !Sees(cluster, 0, 1) && !Sees(cluster, 2, 1); }));
  cluster.StartVm(1);
  CHECK(cluster.WaitLive(3));
  cluster.Vm(2).Pause();
  CHECK(WaitFor([&] { return !Sees(cluster, 0, 2) && !Sees(cluster, 1, 2); }));
  cluster.Vm(2).Resume();
  CHECK(cluster.WaitLive(3));
}

// Guards against a connection that swallows bytes and is kept for ever.
TEST_CASE("VMs find each other again after a silent partition") {
  ClusterOptions options;
  options.m_proxies = true;
  Cluster cluster(options);
  ProxyFaults silent;
  silent.m_drop_forward = true;
  silent.m_drop_backward = true;
  for (int other = 0; other < 2; ++other) {
    cluster.PeerProxy(2, other).SetFaults(silent);
    cluster.PeerProxy(other, 2).SetFaults(silent);
  }
  CHECK(WaitFor([&] { return !Sees(cluster, 0, 2) && !Sees(cluster, 2, 0); }));
  CHECK(Sees(cluster, 0, 1));
  for (int other = 0; other < 2; ++other) {
    cluster.PeerProxy(2, other).SetFaults({});
    cluster.PeerProxy(other, 2).SetFaults({});
  }
  CHECK(cluster.WaitLive(3));
}

// Guards against late heartbeats of an earlier run that undo what the present
// run told.
TEST_CASE("a heartbeat of an earlier incarnation is ignored") {
  Cluster cluster({});
  PeerClient client;
  const NetAddress target{"127.0.0.1",
                          static_cast<uint16_t>(cluster.PeerPort(0))};
  // Flag 1 says draining.
  const auto send = [&](int64_t incarnation) {
    const json heartbeat =
        json::array({Cluster::VmId(1), incarnation, 1, nullptr, nullptr});
    return client.Call(target, "heartbeat", EncodeMessage(heartbeat),
                       Millis(1000));
  };
  REQUIRE(send(1).has_value());
  const json status = cluster.Status(0);
  for (const json& member : status["members"]) {
    CHECK(member["leaving"] == false);
    CHECK(member["incarnation"].get<int64_t>() > 1);
  }
}

// Guards against work sent to a VM or an upstream that is about to go.
TEST_CASE("what the list reports as leaving gets nothing new anywhere") {
  Cluster cluster({});
  cluster.VmList().SetLeavingUpstream("engine-0", true);
  VmListEntry entry{Cluster::VmId(1), "127.0.0.1", cluster.PeerPort(1),
                    "zone-b", true};
  cluster.VmList().Set(entry);
  CHECK(WaitFor([&] {
    for (int vm = 0; vm < 3; ++vm) {
      const json status = cluster.Status(vm);
      if (status["leaving_upstreams"] != json::array({"engine-0"})) {
        return false;
      }
      for (const json& member : status["members"]) {
        if (member["leaving"] != (member["id"] == Cluster::VmId(1))) {
          return false;
        }
      }
    }
    return true;
  }));
  const int64_t before = cluster.Engine(0).Started();
  ChatRequest request;
  request.m_key = Cluster::Key(0);
  for (int i = 0; i < 30; ++i) {
    request.m_url = cluster.Url(i % 3);
    request.m_prompt = "prompt " + std::to_string(i);
    CHECK(cluster.Caller().Chat(request).m_correct);
  }
  CHECK(cluster.Engine(0).Started() == before);
}

// Guards against a fleet above the full mesh in which VMs lose sight of those
// that they send no heartbeats to.
TEST_CASE("a large fleet sees all its members, and a loss") {
  ClusterOptions options;
  options.m_vms = 20;
  options.m_data_vms = 0;
  Cluster cluster(options);
  cluster.Vm(7).Kill();
  CHECK(cluster.WaitLive(19));
  cluster.StartVm(7);
  CHECK(cluster.WaitLive(20));
}

}  // namespace bronzecross
