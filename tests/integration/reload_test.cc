// SIGHUP with changed settings, with real processes.

#include <cstdlib>

#include <doctest/doctest.h>

#include "base/text.h"
#include "harness/cluster.h"
#include "harness/gateway_cluster.h"
#include "harness/silent_server.h"

namespace bronzecross {
namespace {

constexpr Millis kQueryTimeout{10'000};
constexpr Millis kSettleTime{1'500};

// Makes the allocator of the processes that are started from now on overwrite
// freed memory, so that reading it never goes unnoticed.
void OverwriteFreedMemory() {
  setenv("GLIBC_TUNABLES",
         "glibc.malloc.tcache_count=0:glibc.malloc.mxfast=0:"
         "glibc.malloc.perturb=165",
         1);
}

void CheckServes(GatewayCluster& cluster, const std::string& id) {
  GatewayRequest request;
  request.m_target = "/plain/x";
  request.m_id = id;
  CHECK(cluster.Call(request).m_status == 200);
}

// Guards against a gateway that reads the list of seeds after SIGHUP has
// replaced it (review case 11).
TEST_CASE("the list of seeds may change while a seed is being queried") {
  OverwriteFreedMemory();
  SilentServer silent;
  GatewayClusterOptions options;
  options.m_vms = 1;
  options.m_seeds = {silent.Address().ToString(), "127.0.0.1:9"};
  GatewayCluster cluster(options);
  for (const size_t count : {3, 1, 4, 2, 5, 0, 6}) {
    const bool is_queried = silent.WaitForConnection(kQueryTimeout);
    REQUIRE(cluster.Vm(0).IsRunning());
    REQUIRE(is_queried);
    std::vector<std::string> seeds(count, "127.0.0.1:9");
    if (!seeds.empty()) {
      seeds.front() = silent.Address().ToString();
    }
    cluster.SetSeeds(0, seeds);
    cluster.ReloadVm(0);
    if (seeds.empty()) {
      SleepFor(kSettleTime);
      cluster.SetSeeds(0, {silent.Address().ToString()});
      cluster.ReloadVm(0);
    }
  }
  SleepFor(kSettleTime);
  REQUIRE(cluster.Vm(0).IsRunning());
  CheckServes(cluster, "after");
}

// Guards against a gateway that forgets its settings when the file is broken
// for a moment.
TEST_CASE("a gateway goes on with its settings if the file can't be read") {
  GatewayClusterOptions options;
  options.m_vms = 1;
  GatewayCluster cluster(options);
  for (const char* text : {"", "[vm", "[vm]\nid = 3\n"}) {
    cluster.ReloadVmFrom(0, text);
    SleepFor(Millis(200));
  }
  CheckServes(cluster, "after");
  CHECK(cluster.LogOf(0).find("The settings can't be read") !=
        std::string::npos);
}

}  // namespace
}  // namespace bronzecross
