// Odd entries that another writer left among those of the replicas, and real
// gateway processes that read them.

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "base/text.h"
#include "harness/cluster.h"
#include "harness/gateway_cluster.h"

namespace bronzecross {
namespace {

struct OddEntry {
  std::string m_id;
  std::string m_value;
};

std::vector<OddEntry> OddEntries(const std::string& service) {
  const size_t depth = 300'000;
  const auto entry = [&](const std::string& fields) {
    return Concat(R"({"service":")", service,
                  R"(","state":"ready","zone":"zone-a","version":"v1",)",
                  R"("coldLeftMs":0,"callSeq":1,)", fields, "}");
  };
  return {
      {"nested", std::string(depth, '[')},
      {"nested-field",
       entry(R"("address":"127.0.0.1:9","slots":4,"born":1,"callSeq":)" +
             std::string(depth, '[') + std::string(depth, ']'))},
      {"nested-service", R"({"service":)" + std::string(depth, '{')},
      {"large-float",
       entry(R"("address":"127.0.0.1:9","slots":1e999,"born":1)")},
      {"large-slots",
       entry(R"("address":"127.0.0.1:9","slots":3000000000,"born":1)")},
      {"larger-slots",
       entry(R"("address":"127.0.0.1:9","slots":2147483647,"born":1)")},
      {"large-born", entry(R"("address":"127.0.0.1:9","slots":4,)"
                           R"("born":18446744073709551615)")},
      {"port-0", entry(R"("address":"127.0.0.1:0","slots":4,"born":1)")},
      {"port-70000",
       entry(R"("address":"127.0.0.1:70000","slots":4,"born":1)")},
      {"port--1", entry(R"("address":"127.0.0.1:-1","slots":4,"born":1)")},
      {"i-9\r\nTenant: other",
       entry(R"("address":"127.0.0.1:9","slots":4,"born":1)")},
      {"", entry(R"("address":"127.0.0.1:9","slots":4,"born":1)")},
      {"bytes", "\xff\xfe"},
  };
}

GatewayRequest MakeRequest(const std::string& id, int vm) {
  GatewayRequest request;
  request.m_vm = vm;
  request.m_target = "/once/x";
  request.m_id = id;
  return request;
}

// Guards against VMs that end, or follow the list no longer, when they read an
// odd entry, and against one that they use.
TEST_CASE("odd entries of replicas stop no VM, and the others hold") {
  GatewayCluster cluster(GatewayClusterOptions{});
  const std::vector<OddEntry> entries =
      OddEntries(PlatformReplicaOptions().m_service);
  for (const OddEntry& odd : entries) {
    cluster.Store().Put(PlatformReplicaStandin::EntryKey(odd.m_id),
                        odd.m_value);
  }
  // The removal of a replica is still followed.
  cluster.Engine(0).Unregister();
  SleepFor(Millis(800));
  const int64_t before = cluster.Engine(0).Requests();
  for (int i = 0; i < 40; ++i) {
    CHECK(cluster.Call(MakeRequest(Concat("r", i), i % 2)).m_status == 200);
  }
  CHECK(cluster.Engine(0).Requests() == before);
  // And whoever reads the whole list starts with it.
  cluster.Vm(0).Kill();
  cluster.StartVm(0);
  cluster.WaitReady(0);
  cluster.Engine(0).Register("ready");
  cluster.Engine(1).Unregister();
  SleepFor(Millis(800));
  for (int i = 0; i < 20; ++i) {
    CHECK(cluster.Call(MakeRequest(Concat("s", i), i % 2)).m_status == 200);
  }
  CHECK(cluster.Vm(0).IsRunning());
  CHECK(cluster.Vm(1).IsRunning());
  for (size_t vm = 0; vm < 2; ++vm) {
    CHECK(cluster.LogOf(vm).find("Cannot connect to an upstream") ==
          std::string::npos);
  }
}

// Guards against requests to the address in an entry of another writer, where
// some other server listens (review case 13), and against a replica in use that
// goes on getting requests once its entry is such a one.
TEST_CASE("an entry that lacks a field names no replica, also one in use") {
  GatewayCluster cluster(GatewayClusterOptions{});
  // A server that belongs to no service.
  PlatformStoreStandin elsewhere;
  PlatformReplicaStandin other(elsewhere, PlatformReplicaOptions());
  const nlohmann::json sound = {{"service", PlatformReplicaOptions().m_service},
                                {"address", other.Address().ToString()},
                                {"zone", "zone-a"},
                                {"version", "v1"},
                                {"slots", 8},
                                {"state", "ready"},
                                {"coldLeftMs", 0},
                                {"callSeq", 1},
                                {"born", 1}};
  for (const char* field : {"zone", "version", "coldLeftMs", "callSeq"}) {
    nlohmann::json lacking = sound;
    lacking.erase(field);
    cluster.Store().Put(
        PlatformReplicaStandin::EntryKey(Concat("lacks-", field)),
        lacking.dump());
    nlohmann::json typed = sound;
    typed[field] = nlohmann::json::array();
    cluster.Store().Put(PlatformReplicaStandin::EntryKey(Concat("odd-", field)),
                        typed.dump());
  }
  cluster.Store().Put(PlatformReplicaStandin::EntryKey("i-0"), "{}");
  SleepFor(Millis(800));
  const int64_t before = cluster.Engine(0).Requests();
  for (int i = 0; i < 40; ++i) {
    CHECK(cluster.Call(MakeRequest(Concat("r", i), i % 2)).m_status == 200);
  }
  CHECK(other.Requests() == 0);
  CHECK(cluster.Engine(0).Requests() == before);
  cluster.Engine(0).Register("ready");
  CHECK(WaitFor([&] {
    cluster.Call(MakeRequest("again", 0));
    return cluster.Engine(0).Requests() > before;
  }));
}

}  // namespace
}  // namespace bronzecross
