// Workspace limits while the store is down and while a VM is cut off.

#include <doctest/doctest.h>

#include "harness/cluster.h"

namespace bronzecross {
namespace {

using nlohmann::json;

ClusterOptions MakeOptions(bool proxies) {
  ClusterOptions options;
  options.m_vms = 3;
  options.m_data_vms = 0;
  options.m_engines.resize(1);
  options.m_workspaces = 1;
  options.m_proxies = proxies;
  return options;
}

bool IsUsable(Cluster& cluster, int vm) {
  const json status = cluster.Status(vm);
  return status.is_object() && status["slots"].value("usable", false);
}

bool IsLeaseHeld(Cluster& cluster, int vm) {
  const json status = cluster.Status(vm);
  return status.is_object() && status.value("lease_held", true);
}

bool HoldsSlots(Cluster& cluster, int viewer, int holder) {
  const json status = cluster.Status(viewer);
  bool found = false;
  if (status.is_object()) {
    for (const json& entry : status["slots"]["holders"]) {
      found = found || entry["vm"] == Cluster::VmId(holder);
    }
  }
  return found;
}

}  // namespace

// Guards against slots that fall idle when leases end in a long outage.
TEST_CASE("slots stay usable without the store") {
  Cluster cluster(MakeOptions(false));
  for (int vm = 0; vm < 3; ++vm) {
    REQUIRE(WaitFor([&] { return IsUsable(cluster, vm); }));
  }
  KvFaults faults;
  faults.m_outage = true;
  cluster.Kv().SetFaults(faults);
  for (int vm = 0; vm < 3; ++vm) {
    CHECK(WaitFor([&] { return !IsLeaseHeld(cluster, vm); }, Millis(30'000)));
  }
  for (int vm = 0; vm < 3; ++vm) {
    CHECK(IsUsable(cluster, vm));
    CHECK(cluster.Caller()
              .Call("POST", cluster.Url(vm) + "/desk/lookup", Cluster::Key(0),
                    "x")
              ->m_status == 200);
  }
}

// Guards against a VM in a minority that goes on using its slots after the
// majority has taken them.
TEST_CASE("a VM cut off from all gives its slots up before they are taken") {
  Cluster cluster(MakeOptions(true));
  for (int vm = 0; vm < 3; ++vm) {
    REQUIRE(WaitFor([&] { return HoldsSlots(cluster, 0, vm); }));
  }
  ProxyFaults cut;
  cut.m_drop_forward = cut.m_drop_backward = true;
  for (int other = 0; other < 2; ++other) {
    cluster.PeerProxy(other, 2).SetFaults(cut);
    cluster.PeerProxy(2, other).SetFaults(cut);
  }
  cluster.StoreProxy(2).SetFaults(cut);
  // From here on: whenever the others know it lost its slots, it must know that
  // it may not use them.
  CHECK(WaitFor([&] { return !HoldsSlots(cluster, 0, 2); }, Millis(30'000)));
  CHECK_FALSE(IsUsable(cluster, 2));
  CHECK(IsUsable(cluster, 0));
}

}  // namespace bronzecross
