// Crowds that send what no ordinary caller sends, to each listening port of a
// real gateway process. The process must stay alive, hold bounded memory and
// descriptors, and answer an ordinary request afterwards. How many of the
// hostile requests get which answer isn't checked, and no time is.

#include <doctest/doctest.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/random.h"
#include "base/text.h"
#include "harness/cluster.h"
#include "harness/gateway_cluster.h"
#include "harness/hostile_crowd.h"
#include "harness/hostile_inputs.h"
#include "standins/raw_replica_standin.h"

namespace bronzecross {
namespace {

constexpr size_t kCrowd = 100;
constexpr size_t kIdleCrowd = 200;

// Bounds on the process beyond what it has before the crowd, for the settings
// below.
constexpr int64_t kMaxGrowthMb = 32;
constexpr int kMaxDescriptors = 128;

constexpr std::string_view kMemorySettings = "[memory]\nbudget_mb = 8\n";
constexpr std::string_view kConnectionSettings =
    "[callers]\nmax_connections = 32\nmax_descriptors = 400\n";

// A crowd whose bytes the server no longer accepts has sent enough.
constexpr Millis kStall{700};

// Time for the server to read what has been sent, and to get the responses of
// the upstream.
constexpr Millis kHold{400};
constexpr Millis kResponseHold{3'000};

constexpr size_t kResponseBytes = 1'500'000;

HostilePaths GatewayPaths() {
  return {"/once/x", "/stream/x", "/plain/x"};
}

GatewayClusterOptions OneVm(std::string_view settings) {
  GatewayClusterOptions options;
  options.m_vms = 1;
  options.m_engines = 1;
  options.m_settings = std::string(settings);
  return options;
}

GatewayRequest OrdinaryRequest(std::string id) {
  GatewayRequest request;
  request.m_target = "/plain/x";
  request.m_id = std::move(id);
  return request;
}

using ListenerAddress = NetAddress (GatewayCluster::*)(size_t) const;

void CheckServes(GatewayCluster& cluster) {
  CHECK(cluster.Vm(0).IsRunning());
  int attempt = 0;
  CHECK(WaitFor([&] {
    return cluster.Call(OrdinaryRequest(Concat("after-", ++attempt)))
               .m_status == 200;
  }));
  CHECK(WaitFor([&] { return cluster.IsReady(0); }));
}

void CheckMemory(ListenerAddress listener) {
  for (const HostileInput& input : HostileInputs(GatewayPaths())) {
    CAPTURE(input.m_name);
    GatewayCluster cluster(OneVm(kMemorySettings));
    CheckServes(cluster);
    const pid_t pid = cluster.Vm(0).Pid();
    const int64_t before = PeakMemoryMb(pid);
    {
      HostileCrowd crowd((cluster.*listener)(0), pid, kCrowd);
      crowd.Send(input, kStall);
      crowd.Hold(kHold);
      CHECK(cluster.Vm(0).IsRunning());
      CheckServes(cluster);
    }
    const int64_t growth = PeakMemoryMb(pid) - before;
    MESSAGE(input.m_name, ": ", growth, " MB more than ", before);
    CHECK(growth < kMaxGrowthMb);
  }
}

void CheckDescriptors(ListenerAddress listener) {
  const HostileInput inputs[] = {
      {"nothing", "", "", 0},
      {"the begin of a request", "POST /", "", 0},
  };
  for (const HostileInput& input : inputs) {
    CAPTURE(input.m_name);
    GatewayCluster cluster(OneVm(kConnectionSettings));
    CheckServes(cluster);
    HostileCrowd crowd((cluster.*listener)(0), cluster.Vm(0).Pid(), kIdleCrowd);
    crowd.Send(input, kStall);
    crowd.Hold(kHold);
    MESSAGE(input.m_name, ": ", crowd.PeakDescriptors(), " descriptors");
    CHECK(CountOpenDescriptors(cluster.Vm(0).Pid()) < kMaxDescriptors);
    CheckServes(cluster);
  }
}

// Each of these guards against a process that ends for lack of memory, since
// the bytes of many connections are bounded one by one only.
TEST_CASE("memory stays bounded at the callers' port") {
  CheckMemory(&GatewayCluster::CallerAddress);
}

TEST_CASE("memory stays bounded at the readiness port") {
  CheckMemory(&GatewayCluster::ReadinessAddress);
}

TEST_CASE("memory stays bounded at the metrics port") {
  CheckMemory(&GatewayCluster::MetricsAddress);
}

TEST_CASE("memory stays bounded at the port of other VMs") {
  CheckMemory(&GatewayCluster::PeerAddress);
}

// Each of these guards against idle connections that take all descriptors, so
// that neither callers nor upstreams can be reached.
TEST_CASE("descriptors stay bounded at the callers' port") {
  CheckDescriptors(&GatewayCluster::CallerAddress);
}

TEST_CASE("descriptors stay bounded at the readiness port") {
  CheckDescriptors(&GatewayCluster::ReadinessAddress);
}

TEST_CASE("descriptors stay bounded at the metrics port") {
  CheckDescriptors(&GatewayCluster::MetricsAddress);
}

TEST_CASE("descriptors stay bounded at the port of other VMs") {
  CheckDescriptors(&GatewayCluster::PeerAddress);
}

// Guards against responses that are held for callers that don't read them and
// are no longer counted.
TEST_CASE("memory stays bounded while callers don't read their responses") {
  GatewayCluster cluster(OneVm(kMemorySettings));
  RawReplicaScript script;
  const std::string rest =
      Concat("\r\nServer-Stamp: s\r\nContent-Length: ", kResponseBytes,
             "\r\n\r\n", std::string(kResponseBytes, 'x'));
  script.m_begin = "HTTP/1.1 200 OK\r\nRequest-Id: {id}" + rest;
  script.m_later = script.m_begin;
  RawReplicaStandin raw(script);
  cluster.Engine(0).SetListedAddress(raw.Address());
  cluster.Engine(0).Register("ready");
  int attempt = 0;
  REQUIRE(WaitFor([&] {
    cluster.Call(OrdinaryRequest(Concat("before-", ++attempt)));
    return raw.Requests() > 0;
  }));
  const pid_t pid = cluster.Vm(0).Pid();
  const int64_t before = PeakMemoryMb(pid);
  {
    HostileCrowd crowd(cluster.CallerAddress(0), pid, kCrowd);
    crowd.Send({"request",
                "POST /once/x HTTP/1.1\r\nHost: gateway.test\r\n"
                "Authorization: Bearer key-a\r\nRequest-Id: slow\r\n"
                "Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n",
                "", 0},
               kStall);
    crowd.Hold(kResponseHold);
    CHECK(cluster.Vm(0).IsRunning());
  }
  const int64_t growth = PeakMemoryMb(pid) - before;
  MESSAGE("unread responses: ", growth, " MB more than ", before);
  CHECK(growth < kMaxGrowthMb);
  CheckServes(cluster);
}

// Guards against state that grows with datagrams that no VM sent.
TEST_CASE("memory stays bounded while datagrams of any content arrive") {
  GatewayCluster cluster(OneVm(kMemorySettings));
  CheckServes(cluster);
  const int64_t before = PeakMemoryMb(cluster.Vm(0).Pid());
  const sockaddr_in target = ToSockaddr(cluster.PeerAddress(0));
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  REQUIRE(fd >= 0);
  Random random(7);
  for (size_t i = 0; i < 600; ++i) {
    std::string datagram(i * 100, 'x');
    for (size_t at = 0; at < datagram.size(); at += 1 + i % 5) {
      datagram[at] = static_cast<char>(random());
    }
    sendto(fd, datagram.data(), datagram.size(), MSG_NOSIGNAL,
           reinterpret_cast<const sockaddr*>(&target), sizeof(target));
  }
  close(fd);
  CheckServes(cluster);
  CHECK(PeakMemoryMb(cluster.Vm(0).Pid()) - before < kMaxGrowthMb);
}

// Guards against a submission inside the limits that takes many times its size
// while it is read: all of it is in a field that nobody reads (review case 7).
TEST_CASE("a field that nobody reads takes no memory") {
  GatewayCluster cluster(OneVm(""));
  cluster.Operator().PublishBodyLimit(2, 4'000'000);
  const pid_t pid = cluster.Vm(0).Pid();
  const int64_t before = PeakMemoryMb(pid);
  std::string body = R"({"note":[{})";
  while (body.size() < 2'000'000) {
    body += ",{}";
  }
  body += R"(],"items":[{"id":"i","path":"/batch/x","body":"","tokens":1}]})";
  GatewayRequest job;
  job.m_target = "/batch/jobs";
  job.m_id = "noted";
  job.m_body = body;
  CHECK(WaitFor([&] { return cluster.Call(job).m_status == 202; }));
  CHECK(PeakMemoryMb(pid) - before < kMaxGrowthMb);
}

}  // namespace
}  // namespace bronzecross
