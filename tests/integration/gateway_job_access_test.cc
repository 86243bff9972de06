// Who may use a batch job while configurations change the routes of its host,
// with real gateway processes among stand-ins of the platform.

#include <doctest/doctest.h>

#include "base/text.h"
#include "harness/cluster.h"
#include "harness/gateway_cluster.h"
#include "standins/platform_caller.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr Millis kJobTimeout{25'000};
constexpr Millis kConfigTimeout{5'000};

GatewayRequest MakeCall(int vm,
                        const std::string& method,
                        const std::string& target,
                        const std::string& key) {
  GatewayRequest request;
  request.m_vm = vm;
  request.m_method = method;
  request.m_target = target;
  request.m_id = "call";
  request.m_key = key;
  request.m_body = "";
  return request;
}

int Submit(GatewayCluster& cluster,
           const std::string& job,
           const std::string& key) {
  GatewayRequest request = MakeCall(0, "POST", "/batch/jobs", key);
  request.m_id = job;
  request.m_body = PlatformJobBody(job, 2);
  return cluster.Call(request).m_status;
}

// Waits until a plain request to `target` gets `status` at all VMs.
void WaitForStatus(GatewayCluster& cluster,
                   const std::string& target,
                   const std::string& key,
                   int status) {
  for (int vm = 0; vm < cluster.VmCount(); ++vm) {
    CHECK(WaitFor(
        [&] {
          return cluster.Call(MakeCall(vm, "GET", target, key)).m_status ==
                 status;
        },
        kConfigTimeout));
  }
}

// Checks the statuses of reads of results, and of bodies of an open job, at all
// VMs.
void CheckReads(GatewayCluster& cluster,
                const std::string& job,
                const std::string& key,
                int status,
                bool is_open) {
  for (int vm = 0; vm < cluster.VmCount(); ++vm) {
    CAPTURE(job);
    CAPTURE(key);
    CAPTURE(vm);
    CHECK(cluster.Call(MakeCall(vm, "GET", PlatformResultsPath(job), key))
              .m_status == status);
    if (is_open) {
      CHECK(cluster.Call(MakeCall(vm, "GET", PlatformItemPath(job, 1), key))
                .m_status == status);
    }
  }
}

void CheckOwnJobs(GatewayCluster& cluster) {
  CheckReads(cluster, "done", "key-a", 200, false);
  CheckReads(cluster, "open", "key-a", 200, true);
  for (const char* job : {"done", "open"}) {
    CheckReads(cluster, job, "key-b", 404, true);
    CheckReads(cluster, job, "", 401, true);
    CheckReads(cluster, job, "key-c", 401, true);
    for (const char* key : {"key-b", "", "key-c"}) {
      const int status =
          cluster.Call(MakeCall(1, "DELETE", PlatformJobPath(job), key))
              .m_status;
      CHECK(status == (std::string(key) == "key-b" ? 404 : 401));
    }
  }
}

// A job that is done and one whose streams take long.
void SubmitJobs(GatewayCluster& cluster) {
  CHECK(Submit(cluster, "done", "key-a") == 202);
  CHECK(cluster.WaitForResults(1, "done", kJobTimeout).is_object());
  PlatformReplicaFaults slow;
  slow.m_slow_factor = 1'000;
  cluster.Engine(0).SetFaults(slow);
  cluster.Engine(1).SetFaults(slow);
  CHECK(Submit(cluster, "open", "key-a") == 202);
}

// Guards against results, bodies and ends of accepted jobs that are answered
// 404 once another route of the host matches the paths of such calls (review
// case 6).
TEST_CASE("changes of routes don't affect who may use a job") {
  GatewayCluster cluster(GatewayClusterOptions{});
  SubmitJobs(cluster);
  CheckOwnJobs(cluster);
  int version = 1;
  for (const char* prefix : {"/", "/api/", "/api/lots/", "/api/items/"}) {
    CAPTURE(prefix);
    cluster.Operator().PublishRoute(++version, "site",
                                    {{"prefix", prefix}, {"public", true}});
    cluster.Operator().PublishRoute(
        ++version, "mark",
        {{"prefix", Concat("/mark", version, "/")}, {"public", true}});
    WaitForStatus(cluster, Concat("/mark", version, "/x"), "", 200);
    CheckOwnJobs(cluster);
  }
  cluster.Operator().PublishRoute(++version, "batch", {{"public", true}});
  cluster.Operator().PublishRoute(
      ++version, "mark", {{"prefix", "/public-batch/"}, {"public", true}});
  WaitForStatus(cluster, "/public-batch/x", "", 200);
  CheckOwnJobs(cluster);
  cluster.Operator().PublishWithoutRoute(++version, "batch");
  cluster.Operator().PublishRoute(++version, "mark",
                                  {{"prefix", "/no-batch/"}});
  WaitForStatus(cluster, "/no-batch/x", "", 200);
  CheckReads(cluster, "done", "key-a", 200, false);
  CheckReads(cluster, "open", "key-a", 200, false);
  CheckReads(cluster, "open", "key-b", 404, false);
  for (const char* job : {"done", "open"}) {
    CHECK(cluster.Call(MakeCall(1, "DELETE", PlatformJobPath(job), "key-a"))
              .m_status == 200);
  }
}

// Guards against jobs that are stored for nobody because their route needs no
// key.
TEST_CASE(
    "a job on a public batch route belongs to the key that it came with") {
  GatewayCluster cluster(GatewayClusterOptions{});
  cluster.Operator().PublishRoute(2, "batch", {{"public", true}});
  cluster.Operator().PublishRoute(3, "mark",
                                  {{"prefix", "/mark/"}, {"public", true}});
  WaitForStatus(cluster, "/mark/x", "", 200);
  SubmitJobs(cluster);
  CheckOwnJobs(cluster);
  for (const ReplicaRun& run : cluster.Engine(0).Runs()) {
    CHECK((run.m_workspace == "ws-a" || run.m_path == "/mark/x"));
  }
  CHECK(Submit(cluster, "odd", "key-c") == 401);
  CHECK(Submit(cluster, "open", "key-a") == 202);
  CHECK(Submit(cluster, "open", "key-b") == 409);
  CHECK(Submit(cluster, "open", "") == 409);
  // A job that came without a key can be used by its id, also when the route
  // needs a key again.
  CHECK(Submit(cluster, "nobody", "") == 202);
  CheckReads(cluster, "nobody", "", 200, true);
  cluster.Operator().PublishRoute(4, "batch", {{"public", false}});
  cluster.Operator().PublishRoute(5, "mark", {{"prefix", "/private/"}});
  WaitForStatus(cluster, "/private/x", "", 200);
  CheckReads(cluster, "nobody", "", 200, true);
  CheckReads(cluster, "nobody", "key-a", 200, true);
  CheckOwnJobs(cluster);
}

// Guards against jobs that can't be used any more once the configuration has
// workspaces, or while it has none.
TEST_CASE("jobs stay usable when workspaces appear and disappear") {
  GatewayCluster cluster(GatewayClusterOptions{});
  const json workspaces = {{{"name", "ws-a"}, {"apiKeys", {"key-a"}}},
                           {{"name", "ws-b"}, {"apiKeys", {"key-b"}}}};
  CHECK(Submit(cluster, "owned", "key-a") == 202);
  CHECK(cluster.WaitForResults(1, "owned", kJobTimeout).is_object());
  cluster.Operator().PublishWorkspaces(2, json::array());
  WaitForStatus(cluster, "/plain/x", "", 200);
  CheckReads(cluster, "owned", "key-a", 401, false);
  CheckReads(cluster, "owned", "", 401, false);
  CheckReads(cluster, "none", "", 404, false);
  CHECK(Submit(cluster, "free", "key-a") == 202);
  CheckReads(cluster, "free", "key-a", 200, false);
  cluster.Operator().PublishWorkspaces(3, workspaces);
  WaitForStatus(cluster, "/plain/x", "", 401);
  CheckReads(cluster, "owned", "key-a", 200, false);
  CheckReads(cluster, "owned", "key-b", 404, false);
  CheckReads(cluster, "free", "key-a", 200, false);
}

// Guards against requests of other hosts that are answered as calls about jobs.
TEST_CASE("a route of another host serves the paths of calls about jobs") {
  GatewayCluster cluster(GatewayClusterOptions{});
  cluster.Operator().PublishRoute(2, "shop",
                                  {{"host", "shop.test"}, {"prefix", "/api/"}});
  GatewayRequest request = MakeCall(0, "GET", "/api/items/7?id=3", "key-a");
  request.m_host = "shop.test";
  CHECK(WaitFor([&] { return cluster.Call(request).m_status == 200; },
                kConfigTimeout));
}

}  // namespace
}  // namespace bronzecross
