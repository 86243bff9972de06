// Replicas that send bytes without end, or bytes that are no answer, to a real
// gateway process: the request ends in time with a true answer, the connection
// is closed, and the gateway serves the others meanwhile in bounded memory.

#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <thread>

#include "base/text.h"
#include "harness/cluster.h"
#include "harness/gateway_cluster.h"
#include "standins/platform_caller.h"
#include "standins/raw_replica_standin.h"

namespace bronzecross {
namespace {

// Bound on the memory of a gateway in MB: the smallest VMs have 120.
constexpr int64_t kMaxPeakMb = 120;

// Time after the deadline of a request within which it must have ended. It is
// far above the slack of the gateway, as the machine may be busy.
constexpr Millis kEndSlack{4'000};

constexpr Millis kDeadline{400};

constexpr std::string_view kHead =
    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\n";

// Large blocks, so that the upstream sends faster than the gateway reads.
constexpr size_t kBlockBytes = 0x40000;

std::string Repeat(std::string_view text) {
  std::string repeated;
  while (repeated.size() < kBlockBytes) {
    repeated += text;
  }
  return repeated;
}

struct EndlessCase {
  std::string m_name;
  RawReplicaScript m_script;
};

std::vector<EndlessCase> EndlessCases() {
  const std::string head(kHead);
  const std::string block(kBlockBytes, 'x');
  const std::string stream = head + "Content-Type: text/event-stream\r\n";
  return {
      {"header line", {"HTTP/1.1 200 OK\r\nX: ", block}},
      {"header fields", {"HTTP/1.1 200 OK\r\n", Repeat("X-Field: value\r\n")}},
      {"status line", {"HTTP/1.1 200 ", block}},
      {"interim responses", {"", Repeat("HTTP/1.1 100 Continue\r\n\r\n")}},
      {"interim responses with fields",
       {"", Repeat("HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n")}},
      {"interim response without end",
       {"HTTP/1.1 103 Early Hints\r\n", Repeat("X: y\r\n")}},
      {"empty lines", {"", Repeat("\r\n")}},
      {"responses to other requests",
       {"", Repeat("HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
                   "Server-Stamp: s\r\nContent-Length: 1\r\n\r\nx")}},
      {"body of another request's response",
       {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n", block}},
      {"chunk extension",
       {stream + "Transfer-Encoding: chunked\r\n\r\n5;", block}},
      {"chunk size",
       {stream + "Transfer-Encoding: chunked\r\n\r\n",
        std::string(kBlockBytes, '0')}},
      {"chunks",
       {stream + "Transfer-Encoding: chunked\r\n\r\n",
        "40000\r\n" + block + "\r\n"}},
      {"chunk",
       {stream + "Transfer-Encoding: chunked\r\n\r\nffffffff\r\n", block}},
      {"trailer fields",
       {stream + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
        Repeat("X: y\r\n")}},
      {"body without a length", {stream + "\r\n", block}},
      {"body of a huge length",
       {stream + "Content-Length: 99999999999\r\n\r\n", block}},
      {"lines that end no event", {stream + "\r\n", Repeat("data: x\n")}},
      {"bytes that are no HTTP", {"", block}},
  };
}

int64_t PeakMb(pid_t pid) {
  std::ifstream status(Concat("/proc/", pid, "/status"));
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmHWM:")) {
      return std::strtoll(line.c_str() + 6, nullptr, 10) / 1024;
    }
  }
  return -1;
}

GatewayRequest MakeRequest(std::string target, std::string id) {
  GatewayRequest request;
  request.m_target = std::move(target);
  request.m_id = std::move(id);
  request.m_deadline_ms = kDeadline.count();
  return request;
}

// Guards against an upstream whose bytes keep the event loop busy, grow in
// memory, or hold a request for longer than its caller waits.
TEST_CASE("an upstream that sends without end stops neither VM nor request") {
  GatewayClusterOptions options;
  options.m_vms = 1;
  options.m_engines = 1;
  GatewayCluster cluster(options);
  int request_count = 0;
  for (const EndlessCase& endless : EndlessCases()) {
    CAPTURE(endless.m_name);
    RawReplicaStandin raw(endless.m_script);
    cluster.Engine(0).SetListedAddress(raw.Address());
    cluster.Engine(0).Register("ready");
    // The VM learns of the new address within a moment.
    WaitFor([&] {
      cluster.Call(MakeRequest("/once/x", Concat("r", ++request_count)));
      return raw.Requests() > 0;
    });
    const Millis started = MonotonicNow();
    std::vector<std::thread> callers;
    std::vector<HttpAnswer> answers(8);
    for (size_t i = 0; i < answers.size(); ++i) {
      const GatewayRequest request = MakeRequest(
          i % 2 == 0 ? "/once/x" : "/stream/x", Concat("r", ++request_count));
      callers.emplace_back(
          [&, i, request] { answers[i] = cluster.Call(request); });
    }
    // The VM still answers others at once.
    const HttpAnswer other = cluster.Call(MakeRequest("/nowhere/x", "other"));
    CHECK(other.m_status == 404);
    CHECK(cluster.IsReady(0));
    for (std::thread& caller : callers) {
      caller.join();
    }
    CHECK(MonotonicNow() - started < kDeadline + kEndSlack);
    for (const HttpAnswer& answer : answers) {
      CHECK((answer.m_status == 0 || answer.m_status >= 500));
    }
    CHECK(WaitFor([&] { return raw.OpenConnections() == 0; }));
    CHECK(cluster.Vm(0).IsRunning());
  }
  CHECK(PeakMb(cluster.Vm(0).Pid()) < kMaxPeakMb);
}

// Guards against a second copy of an answer that reaches the next caller on the
// same connection, and against bytes behind an answer that are taken for one.
TEST_CASE("bytes behind an answer reach no other caller") {
  const std::string answer(std::string(kHead) +
                           "Content-Length: 5\r\n\r\nreply");
  for (const bool is_late : {false, true}) {
    RawReplicaScript script;
    script.m_begin = is_late ? answer : answer + answer;
    script.m_repeated = is_late ? answer : "";
    script.m_pause = Millis(30);
    GatewayClusterOptions options;
    options.m_vms = 1;
    options.m_engines = 1;
    GatewayCluster cluster(options);
    RawReplicaStandin raw(script);
    cluster.Engine(0).SetListedAddress(raw.Address());
    cluster.Engine(0).Register("ready");
    WaitFor([&] {
      cluster.Call(MakeRequest("/once/x", "first"));
      return raw.Requests() > 0;
    });
    for (int i = 0; i < 30; ++i) {
      const std::string id = Concat("r", i);
      const HttpAnswer got = cluster.Call(MakeRequest("/once/x", id));
      if (got.m_status == 200) {
        CHECK(FindHeader(got.m_headers, "Request-Id") == id);
      }
      SleepFor(Millis(i));
    }
  }
}

// Guards against a stream that starts again from its beginning within one
// response: without event ids nothing tells where to go on.
TEST_CASE("a stream cut inside an event by the end of its connection fails") {
  RawReplicaScript script;
  script.m_begin = std::string(kHead) +
                   "Content-Type: text/event-stream\r\n\r\n"
                   "id: 1\ndata: a\n\nid: 2\nda";
  script.m_closes = true;
  GatewayClusterOptions options;
  options.m_vms = 1;
  options.m_engines = 1;
  GatewayCluster cluster(options);
  RawReplicaStandin raw(script);
  cluster.Engine(0).SetListedAddress(raw.Address());
  cluster.Engine(0).Register("ready");
  CHECK(WaitFor([&] {
    cluster.Call(MakeRequest("/stream/x", "first"));
    return raw.Requests() > 0;
  }));
  CHECK(cluster.Call(MakeRequest("/stream/x", "r1")).m_status != 200);

  // An item keeps its whole events and goes on elsewhere.
  GatewayRequest job;
  job.m_target = "/batch/jobs";
  job.m_id = "job1";
  job.m_body = PlatformJobBody("job1", 1);
  const int before = raw.Requests();
  CHECK(cluster.Call(job).m_status == 202);
  CHECK(WaitFor([&] { return raw.Requests() > before; }));
  cluster.Engine(0).SetListedAddress(NetAddress());
  cluster.Engine(0).Register("ready");
  const nlohmann::json page = cluster.WaitForResults(0, "job1", Millis(20'000));
  REQUIRE(page.is_object());
  REQUIRE(page["results"].size() == 1);
  const std::string output = page["results"][0]["output"];
  CHECK(output.starts_with("a\n"));
  CHECK(std::count(output.begin(), output.end(), '\n') == 4);
}

TEST_CASE("a broken stream without event ids isn't started again") {
  RawReplicaScript script;
  script.m_begin = std::string(kHead) +
                   "Content-Type: text/event-stream\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n"
                   "9\r\ndata: a\n\n\r\n";
  script.m_closes = true;
  GatewayClusterOptions options;
  options.m_vms = 1;
  options.m_engines = 1;
  GatewayCluster cluster(options);
  RawReplicaStandin raw(script);
  cluster.Engine(0).SetListedAddress(raw.Address());
  cluster.Engine(0).Register("ready");
  WaitFor([&] {
    cluster.Call(MakeRequest("/resume/stream", "first"));
    return raw.Requests() > 0;
  });
  const int before = raw.Requests();
  CHECK(cluster.Call(MakeRequest("/resume/stream", "r1")).m_status == 0);
  CHECK(raw.Requests() == before + 1);
}

}  // namespace
}  // namespace bronzecross
