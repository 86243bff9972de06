// Replicas whose answers break off or aren't HTTP, at a real gateway process: a
// caller never gets a part of an answer as a whole one, nor a status that isn't
// one.

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

#include "base/text.h"
#include "harness/cluster.h"
#include "harness/gateway_cluster.h"
#include "standins/platform_caller.h"
#include "standins/raw_replica_standin.h"

namespace bronzecross {
namespace {

constexpr std::string_view kFields =
    "Request-Id: {id}\r\nServer-Stamp: s\r\nContent-Type: text/plain\r\n"
    "Connection: close\r\n";
const std::string kWhole(Concat("HTTP/1.1 200 OK\r\n",
                                kFields,
                                "Content-Length: 2\r\n\r\nok"));

constexpr int kBadGateway = 502;

// More than the send buffer of a socket takes.
constexpr size_t kUploadBytes = 5'000'000;

// One gateway with one replica that answers with bytes of the test's choice.
class BrokenReplica {
 public:
  BrokenReplica() : m_cluster(Options()), m_raw(Script(kWhole)) {
    m_cluster.Operator().PublishBodyLimit(2, 2 * kUploadBytes);
    m_cluster.Engine(0).SetListedAddress(m_raw.Address());
    m_cluster.Engine(0).Register("ready");
    CHECK(WaitFor([&] {
      return Call("/once/x", "").m_status == 200 && m_raw.Requests() > 0;
    }));
  }

  static RawReplicaScript Script(const std::string& answer) {
    RawReplicaScript script;
    script.m_begin = answer;
    script.m_closes = true;
    return script;
  }

  // Returns what the caller of a request gets if the replica plays `script`. A
  // whole answer follows, so that the replica isn't taken for a failed one.
  HttpAnswer CallWith(const RawReplicaScript& script,
                      const std::string& target,
                      const std::string& body) {
    m_raw.SetScript(script);
    const int before = m_raw.Requests();
    HttpAnswer answer = Call(target, body);
    CHECK(m_raw.Requests() > before);
    m_raw.SetScript(Script(kWhole));
    CHECK(WaitFor([&] { return Call("/once/x", "").m_status == 200; }));
    return answer;
  }

  GatewayCluster& Cluster() { return m_cluster; }
  RawReplicaStandin& Raw() { return m_raw; }

 private:
  static GatewayClusterOptions Options() {
    GatewayClusterOptions options;
    options.m_vms = 1;
    options.m_engines = 1;
    return options;
  }

  HttpAnswer Call(const std::string& target, const std::string& body) {
    GatewayRequest request;
    request.m_target = target;
    request.m_id = Concat("r", ++m_requests);
    // A request that breaks answers again and again is blocked.
    request.m_body = Concat(body, m_requests);
    request.m_deadline_ms = 3'000;
    return m_cluster.Call(request);
  }

  GatewayCluster m_cluster;
  RawReplicaStandin m_raw;
  int m_requests = 0;
};

const std::vector<std::string> kTargets = {"/plain/x", "/once/x", "/stream/x",
                                           "/resume/x"};

// Guards against an answer that is framed as whole although its replica stopped
// in the middle of the head.
TEST_CASE("a head that breaks off after any byte is no answer") {
  BrokenReplica replica;
  const std::string unframed = Concat("HTTP/1.1 200 OK\r\n", kFields, "\r\n");
  for (size_t bytes = 0; bytes < unframed.size(); ++bytes) {
    for (const bool resets : {false, true}) {
      CAPTURE(bytes);
      CAPTURE(resets);
      RawReplicaScript script =
          BrokenReplica::Script(unframed.substr(0, bytes));
      script.m_resets = resets;
      CHECK(replica
                .CallWith(script, kTargets[bytes % kTargets.size()], "question")
                .m_status == kBadGateway);
    }
  }
}

struct EarlyAnswer {
  std::string m_framing;
  std::string m_sent;  // of the body
  bool m_is_whole = false;
};

std::vector<EarlyAnswer> EarlyAnswers(size_t size) {
  const std::string body(size, 'x');
  const std::string chunk = Concat(absl::Hex(size), "\r\n", body, "\r\n");
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string length = Concat("Content-Length: ", size, "\r\n");
  return {{length, body, true},
          {length, body.substr(1), false},
          {chunked, Concat(chunk, "0\r\n\r\n"), true},
          {chunked, chunk, false},
          {"", body, false}};
}

// Guards against a part of an answer that the caller gets as a whole one, since
// a failed write of the upload hides the reset from the next read.
TEST_CASE("an early answer that is reset during an upload is whole or failed") {
  BrokenReplica replica;
  const std::string upload(kUploadBytes, 'u');
  for (const size_t size : {size_t{10}, size_t{300'000}}) {
    for (const EarlyAnswer& early : EarlyAnswers(size)) {
      for (const bool resets : {false, true}) {
        for (const std::string& target : kTargets) {
          CAPTURE(size);
          CAPTURE(early.m_framing);
          CAPTURE(early.m_is_whole);
          CAPTURE(resets);
          CAPTURE(target);
          RawReplicaScript script = BrokenReplica::Script(
              Concat("HTTP/1.1 200 OK\r\n", kFields, early.m_framing, "\r\n",
                     early.m_sent));
          script.m_ignores_body = true;
          script.m_delay = Millis(5);
          script.m_resets = resets;
          const HttpAnswer answer = replica.CallWith(script, target, upload);
          if (early.m_is_whole && size == 10) {
            CHECK(answer.m_status == 200);
          }
          if (answer.m_status == 200) {
            CHECK(early.m_is_whole);
            CHECK(answer.m_body.size() == size);
          } else {
            // A stream that has begun can only be cut off.
            CHECK((answer.m_status == kBadGateway ||
                   (answer.m_status == 0 && size > 10)));
          }
        }
      }
    }
  }
}

// Guards against a rejection that is lost because the replica closed before it
// had read the whole upload.
TEST_CASE("an early rejection during an upload is passed on as not run") {
  BrokenReplica replica;
  RawReplicaScript script = BrokenReplica::Script(
      "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nRequest-Id: {id}\r\n"
      "Content-Length: 0\r\n\r\n");
  script.m_ignores_body = true;
  script.m_delay = Millis(5);
  replica.Raw().SetScript(script);
  const std::string upload(kUploadBytes, 'u');
  std::atomic<int> others = 0;
  std::vector<std::thread> callers;
  for (int i = 0; i < 4; ++i) {
    callers.emplace_back([&, i] {
      for (int k = 0; k < 10; ++k) {
        GatewayRequest request;
        request.m_target = "/once/x";
        request.m_id = Concat("early-", i, "-", k);
        request.m_body = upload;
        others += replica.Cluster().Call(request).m_status == 503 ? 0 : 1;
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK(others == 0);
  CHECK(replica.Raw().Requests() > 10);
}

// Guards against bytes that are no status and reach the caller as one.
TEST_CASE("an answer without a valid final status is no answer") {
  BrokenReplica replica;
  for (const std::string& target : kTargets) {
    for (const std::string status :
         {"000", "0", "20", "99", "100", "101", "103", "199", "600", "999",
          "0200", "00200", "1000", "2000", "20000", "-200", "2x0", "",
          " 200"}) {
      for (const bool has_length : {false, true}) {
        CAPTURE(target);
        CAPTURE(status);
        CAPTURE(has_length);
        const RawReplicaScript script = BrokenReplica::Script(
            Concat("HTTP/1.1 ", status, " OK\r\n", kFields,
                   has_length ? "Content-Length: 2\r\n" : "", "\r\nok"));
        CHECK(replica.CallWith(script, target, "question").m_status ==
              kBadGateway);
      }
    }
    for (const int status : {200, 299, 302, 404, 422, 500, 599}) {
      CAPTURE(status);
      const RawReplicaScript script =
          BrokenReplica::Script(Concat("HTTP/1.1 ", status, " X\r\n", kFields,
                                       "Content-Length: 2\r\n\r\nok"));
      CHECK(replica.CallWith(script, target, "question").m_status == status);
    }
  }
}

// Guards against a final result of an item that was made of a broken answer.
TEST_CASE("broken answers don't finish the items of jobs") {
  BrokenReplica replica;
  int jobs = 0;
  for (const std::string& answer :
       {std::string("HTTP/1.1 600 X\r\n"), std::string("HTTP/1.1 000 X\r\n"),
        std::string("HTTP/1.1 0422 X\r\n")}) {
    replica.Raw().SetScript(BrokenReplica::Script(
        Concat(answer, kFields, "Content-Length: 2\r\n\r\nok")));
    GatewayRequest job;
    job.m_target = "/batch/jobs";
    job.m_id = Concat("job", ++jobs);
    job.m_body = PlatformJobBody(job.m_id, 1);
    const int before = replica.Raw().Requests();
    CHECK(replica.Cluster().Call(job).m_status == 202);
    CHECK(WaitFor([&] { return replica.Raw().Requests() > before + 1; },
                  Millis(20'000)));
    GatewayRequest read;
    read.m_method = "GET";
    read.m_target = PlatformResultsPath(job.m_id);
    read.m_body = "";
    const nlohmann::json page = nlohmann::json::parse(
        replica.Cluster().Call(read).m_body, nullptr, false);
    REQUIRE(page.is_object());
    CHECK(page["results"].empty());
    read.m_method = "DELETE";
    read.m_target = PlatformJobPath(job.m_id);
    CHECK(replica.Cluster().Call(read).m_status == 200);
  }
}

}  // namespace
}  // namespace bronzecross
