// A replica whose entry ends before its answer says that it is leaving, and
// that registers again with the same start.

#include <doctest/doctest.h>

#include <thread>

#include "base/text.h"
#include "harness/cluster.h"
#include "harness/gateway_cluster.h"

namespace bronzecross {
namespace {

GatewayRequest MakeRequest(const std::string& id) {
  GatewayRequest request;
  request.m_target = "/once/x";
  request.m_id = id;
  return request;
}

// Guards against requests to a replica that has said that it is leaving, as the
// mark was set on an entry that had ended.
TEST_CASE(
    "a replica that leaves without an entry gets nothing when it is back") {
  GatewayClusterOptions options;
  options.m_vms = 1;
  GatewayCluster cluster(options);
  PlatformReplicaFaults faults;
  faults.m_leaving = true;
  faults.m_silent = true;
  cluster.Engine(0).SetFaults(faults);
  cluster.Engine(1).Unregister();
  SleepFor(Millis(500));
  std::string leaving;
  std::thread caller([&] {
    leaving = std::string(FindHeader(
        cluster.Call(MakeRequest("slow")).m_headers, "Server-Leaving"));
  });
  SleepFor(Millis(800));
  cluster.Engine(0).Unregister();
  caller.join();
  REQUIRE(leaving == "1");
  faults.m_silent = false;
  cluster.Engine(0).SetFaults(faults);
  cluster.Engine(1).Register("ready");
  cluster.Engine(0).Register("ready");
  SleepFor(Millis(500));
  const int64_t before = cluster.Engine(0).Requests();
  for (int i = 0; i < 40; ++i) {
    CHECK(cluster.Call(MakeRequest(Concat("r", i))).m_status == 200);
  }
  CHECK(cluster.Engine(0).Requests() == before);
}

}  // namespace
}  // namespace bronzecross
