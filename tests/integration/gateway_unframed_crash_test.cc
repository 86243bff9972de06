// Upstreams whose responses have neither a length nor chunks and crash, so that
// the end of the connection looks like the end of the response.

#include <doctest/doctest.h>

#include <memory>
#include <vector>

#include "base/text.h"
#include "harness/cluster.h"
#include "harness/gateway_cluster.h"
#include "standins/raw_replica_standin.h"

namespace bronzecross {
namespace {

constexpr int kEngines = 10;

// Guards against a crash that counts as a complete response: it would clear the
// part that caused it each time.
void CheckPartIsBlamed(const std::string& target, const std::string& begin) {
  RawReplicaScript script;
  script.m_begin = begin;
  script.m_closes = true;
  script.m_stops_listening = true;
  GatewayClusterOptions options;
  options.m_vms = 1;
  options.m_engines = kEngines;
  GatewayCluster cluster(options);
  std::vector<std::unique_ptr<RawReplicaStandin>> raw;
  for (int i = 0; i < kEngines; ++i) {
    raw.push_back(std::make_unique<RawReplicaStandin>(script));
    cluster.Engine(i).SetListedAddress(raw.back()->Address());
    cluster.Engine(i).Register("ready");
  }
  const auto call = [&](const std::string& id) {
    GatewayRequest request;
    request.m_target = target;
    request.m_id = id;
    request.m_headers = {
        {"Prompt-Prefix", Concat("aaaa:100,dead:100,", id, ":50")}};
    return cluster.Call(request).m_status;
  };
  const auto requests = [&] {
    int count = 0;
    for (const std::unique_ptr<RawReplicaStandin>& replica : raw) {
      count += replica->Requests();
    }
    return count;
  };
  for (int i = 0; requests() < 6 && i < 40; ++i) {
    call(Concat("d", i));
    SleepFor(Millis(300));
  }
  CHECK(requests() >= 4);
  CHECK(WaitFor([&] {
    return cluster.LogOf(0).find("prompt part crashes upstreams") !=
           std::string::npos;
  }));
}

TEST_CASE("a crash at the start of an unframed stream is no completion") {
  CheckPartIsBlamed("/stream/x",
                    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n"
                    "Server-Stamp: s\r\n"
                    "Content-Type: text/event-stream\r\n\r\n");
}

TEST_CASE("a crash within an unframed body is no completion") {
  CheckPartIsBlamed("/once/x",
                    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n"
                    "Server-Stamp: s\r\n\r\npart of the bo");
}

}  // namespace
}  // namespace bronzecross
