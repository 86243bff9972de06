// Upstreams whose answers break off or aren't HTTP, at the HTTP client of the
// daemon and at a real daemon process.

#include <doctest/doctest.h>

#include "base/text.h"
#include "harness/cluster.h"
#include "harness/upstream_proxies.h"
#include "http/http_client.h"
#include "standins/raw_replica_standin.h"

namespace bronzecross {
namespace {

RawReplicaScript Script(const std::string& answer, bool resets) {
  RawReplicaScript script;
  script.m_begin = answer;
  script.m_closes = true;
  script.m_resets = resets;
  return script;
}

Result<HttpAnswer> Call(HttpClient& client,
                        const RawReplicaStandin& raw,
                        std::string_view body) {
  HttpCall call;
  call.m_method = "POST";
  call.m_url = Concat("http://", raw.Address().ToString(), "/x");
  call.m_headers = {{"Request-Id", "r"}};
  call.m_body = body;
  call.m_timeout = Millis(3'000);
  call.m_fresh_connection = true;
  return client.Call(call);
}

// Guards against an answer that counts as whole although its upstream stopped
// in the middle of the head.
TEST_CASE("the client rejects a head that breaks off after any byte") {
  RawReplicaStandin raw(RawReplicaScript{});
  HttpClient client;
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Mark: s\r\nContent-Type: text/plain\r\n\r\n";
  for (size_t bytes = 0; bytes < head.size(); ++bytes) {
    for (const bool resets : {false, true}) {
      CAPTURE(bytes);
      CAPTURE(resets);
      raw.SetScript(Script(head.substr(0, bytes), resets));
      CHECK_FALSE(Call(client, raw, "question"));
    }
  }
}

TEST_CASE("the client rejects an answer without a valid final status") {
  RawReplicaStandin raw(RawReplicaScript{});
  HttpClient client;
  for (const std::string status :
       {"000", "0", "20", "99", "100", "101", "103", "199", "600", "999",
        "0200", "00200", "1000", "2000", "-200", "2x0", "", " 200"}) {
    CAPTURE(status);
    raw.SetScript(Script(
        Concat("HTTP/1.1 ", status, " OK\r\nContent-Length: 2\r\n\r\nok"),
        false));
    CHECK_FALSE(Call(client, raw, "question"));
  }
  for (const int status : {200, 299, 404, 500, 599}) {
    raw.SetScript(Script(
        Concat("HTTP/1.1 ", status, " OK\r\nContent-Length: 2\r\n\r\nok"),
        false));
    const Result<HttpAnswer> answer = Call(client, raw, "question");
    REQUIRE(answer);
    CHECK(answer->m_status == status);
  }
}

// Guards against a part of an early answer that counts as a whole one.
TEST_CASE("the client takes no early answer that is reset for a whole one") {
  RawReplicaStandin raw(RawReplicaScript{});
  HttpClient client;
  const std::string upload(4'000'000, 'u');
  for (const size_t size : {size_t{10}, size_t{300'000}}) {
    const std::string body(size, 'x');
    const std::string chunk = Concat(absl::Hex(size), "\r\n", body, "\r\n");
    for (const std::string& rest :
         {Concat("\r\n", body),
          Concat("Content-Length: ", size + 1, "\r\n\r\n", body),
          Concat("Transfer-Encoding: chunked\r\n\r\n", chunk)}) {
      for (const bool resets : {false, true}) {
        CAPTURE(size);
        CAPTURE(rest.substr(0, 20));
        CAPTURE(resets);
        RawReplicaScript script =
            Script(Concat("HTTP/1.1 200 OK\r\n", rest), resets);
        script.m_ignores_body = true;
        raw.SetScript(script);
        CHECK_FALSE(Call(client, raw, upload));
      }
    }
  }
}

struct EndlessHead {
  std::string m_begin;
  std::string m_repeated;
};

// Guards against heads without end that a client keeps in memory.
TEST_CASE("the client ends an answer whose head has no end") {
  HttpClient client;
  std::string fields;
  std::string interim;
  for (int i = 0; i < 1'000; ++i) {
    fields += "X-Field: value\r\n";
    interim += "HTTP/1.1 103 Early Hints\r\nX-Field: value\r\n\r\n";
  }
  const std::string line(20'000, 'x');
  const std::vector<EndlessHead> heads = {
      {"HTTP/1.1 200 OK\r\n", fields},
      {"", interim},
      {"HTTP/1.1 200 ", line},
      {"HTTP/1.1 200 OK\r\nX: ", line},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", fields}};
  for (const EndlessHead& head : heads) {
    CAPTURE(head.m_begin);
    RawReplicaScript script;
    script.m_begin = head.m_begin;
    script.m_repeated = head.m_repeated;
    RawReplicaStandin raw(script);
    const Millis started = MonotonicNow();
    const Result<HttpAnswer> answer = Call(client, raw, "question");
    REQUIRE_FALSE(answer);
    CHECK(answer.error().m_code != ResultCode::kDeadlineExceeded);
    CHECK(MonotonicNow() - started < Millis(3'000));
  }
}

// The same at a whole daemon: its callers never get such an answer.
TEST_CASE("a daemon passes on no broken answer of a service") {
  ClusterOptions options;
  options.m_vms = 1;
  options.m_data_vms = 1;
  options.m_engines.resize(1);
  options.m_services = 1;
  options.m_rate_per_s = 1e6;
  options.m_burst = 1e6;
  Cluster cluster(options);
  UpstreamProxies proxies(cluster);
  RawReplicaStandin raw(RawReplicaScript{});
  proxies.Of("service-0").SetTarget(raw.Address());
  int sent = 0;
  for (const std::string& answer :
       {std::string("HTTP/1.1 200 OK\r\nContent-Ty"),
        std::string("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"),
        std::string("HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok"),
        std::string("HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok")}) {
    CAPTURE(answer);
    raw.SetScript(Script(answer, false));
    const int before = raw.Requests();
    Result<HttpAnswer> got = tl::unexpected<Error>(Error{});
    CHECK(WaitFor([&] {
      got = cluster.Caller().Call("POST", cluster.Url(0) + "/desk/receipts",
                                  Cluster::Key(0), Concat("r", ++sent));
      return raw.Requests() > before;
    }));
    REQUIRE(got);
    CHECK(got->m_status >= 500);
    CHECK(got->m_status < 600);
  }
}

}  // namespace
}  // namespace bronzecross
