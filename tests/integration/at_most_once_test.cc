// Routes that are not idempotent, with a fault proxy between the VMs and the
// service: nothing runs twice, and refusals say truly whether it ran.

#include <doctest/doctest.h>

#include "harness/cluster.h"
#include "harness/upstream_proxies.h"
#include "standins/raw_replica_standin.h"

namespace bronzecross {
namespace {

using nlohmann::json;

class DeskCluster {
 public:
  DeskCluster(int services, bool proxies) : m_cluster(MakeOptions(services)) {
    for (RouteSpec& route : m_cluster.GetManifest().m_routes) {
      route.m_timeout_ms = 1500;
    }
    if (proxies) {
      m_proxies = std::make_unique<UpstreamProxies>(m_cluster);
    }
  }

  Result<HttpAnswer> Post(const std::string& body) {
    return m_cluster.Caller().Call("POST", m_cluster.Url(0) + "/desk/receipts",
                                   Cluster::Key(0), body);
  }

  // How often `body` ran on all services.
  int Runs(const std::string& body, int services) {
    int runs = 0;
    for (int i = 0; i < services; ++i) {
      runs += m_cluster.Service(i).RunsByBody()[body];
    }
    return runs;
  }

  ServiceStandin& Service(size_t index) { return m_cluster.Service(index); }
  UpstreamProxies& Proxies() { return *m_proxies; }

 private:
  static ClusterOptions MakeOptions(int services) {
    ClusterOptions options;
    options.m_vms = 1;
    options.m_data_vms = 1;
    options.m_engines.resize(1);
    options.m_services = services;
    // The limiter's buckets start empty and are not tested here.
    options.m_rate_per_s = 1e6;
    options.m_burst = 1e6;
    return options;
  }

  Cluster m_cluster;
  std::unique_ptr<UpstreamProxies> m_proxies;
};

std::string RunOf(const Result<HttpAnswer>& answer) {
  return json::parse(answer->m_body)["error"].value("run", "");
}

std::string CodeOf(const Result<HttpAnswer>& answer) {
  return json::parse(answer->m_body)["error"].value("code", "");
}

}  // namespace

// Guards against giving up where nothing was sent, and against a refusal that
// claims more than is known.
TEST_CASE("refused connections: sent elsewhere, else not_run") {
  DeskCluster desk(2, false);
  desk.Service(0).Crash();
  for (int i = 0; i < 6; ++i) {
    const std::string body = "r" + std::to_string(i);
    const Result<HttpAnswer> answer = desk.Post(body);
    REQUIRE(answer.has_value());
    CHECK(answer->m_status == 200);
    CHECK(desk.Runs(body, 2) == 1);
  }
  desk.Service(1).Crash();
  for (int i = 0; i < 6; ++i) {
    const Result<HttpAnswer> answer = desk.Post("none");
    REQUIRE(answer.has_value());
    CHECK(answer->m_status >= 500);
    CHECK(RunOf(answer) == "not_run");
  }
  CHECK(desk.Runs("none", 2) == 0);
}

// Guards against running a request again after its connection was cut.
TEST_CASE("connections cut before, in and after the answer: unknown, once") {
  DeskCluster desk(2, true);
  ProxyFaults cut_before;
  cut_before.m_cut_after_bytes = 1;
  ProxyFaults cut_in;
  cut_in.m_cut_after_bytes = 120;
  ProxyFaults lost;
  lost.m_drop_backward = true;
  int number = 0;
  for (const ProxyFaults& faults : {cut_before, cut_in, lost}) {
    desk.Proxies().SetAll(faults);
    const std::string body = "cut " + std::to_string(number++);
    const Result<HttpAnswer> answer = desk.Post(body);
    REQUIRE(answer.has_value());
    CHECK(CodeOf(answer) == "outcome_unknown");
    CHECK(RunOf(answer) == "unknown");
    CHECK(FindHeader(answer->m_headers, "X-Bronzecross-Run") == "unknown");
    CHECK(desk.Runs(body, 2) == 1);
  }
}

// Guards against a late answer to an earlier request on a used connection: it
// would be taken for that of a request that the service runs.
TEST_CASE("requests that may run once go over connections of their own") {
  DeskCluster desk(1, true);
  RawReplicaScript script;
  script.m_begin = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  script.m_later =
      "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
  RawReplicaStandin raw(script);
  desk.Proxies().Of("service-0").SetTarget(raw.Address());
  for (int i = 0; i < 6; ++i) {
    const Result<HttpAnswer> answer = desk.Post("own " + std::to_string(i));
    REQUIRE(answer.has_value());
    CHECK(answer->m_status == 200);
  }
  CHECK(raw.Requests() == 6);
  CHECK(raw.LaterRequests() == 0);
}

}  // namespace bronzecross
