// What a gateway process whose memory budget is full refuses.

#include <doctest/doctest.h>

#include "base/text.h"
#include "harness/gateway_cluster.h"
#include "harness/hostile_crowd.h"
#include "hostile/raw_socket.h"

namespace bronzecross {
namespace {

// The limit of the stand-in's configuration.
constexpr size_t kMaxBodyBytes = 1'000'000;

constexpr Millis kTimeout{8'000};

GatewayClusterOptions OneVm(std::string_view settings) {
  GatewayClusterOptions options;
  options.m_vms = 1;
  options.m_engines = 1;
  options.m_settings = std::string(settings);
  return options;
}

// Returns a request whose header section, from the request line to the empty
// line, has `head_bytes` bytes.
std::string RequestWithHead(size_t head_bytes) {
  std::string head =
      "POST /plain/x HTTP/1.1\r\nHost: gateway.test\r\n"
      "Authorization: Bearer key-a\r\nRequest-Id: full-head\r\n"
      "Connection: close\r\nContent-Length: 1\r\nX-Filler: ";
  head += std::string(head_bytes - head.size() - 4, 'x') + "\r\n\r\n";
  return head + "q";
}

std::string RequestWithBody(std::string_view framing, std::string_view body) {
  return Concat(
      "POST /plain/x HTTP/1.1\r\nHost: gateway.test\r\n"
      "Authorization: Bearer key-a\r\nRequest-Id: full-body\r\n"
      "Connection: close\r\n",
      framing, "\r\n\r\n", body);
}

// Guards against refusals for lack of memory of requests that have run, and of
// small requests while others hold their share of the memory.
TEST_CASE("while large bodies fill the memory, only large ones are refused") {
  GatewayCluster cluster(OneVm("[memory]\nbudget_mb = 8\n"));
  const std::string chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
  HostileCrowd crowd(cluster.CallerAddress(0), cluster.Vm(0).Pid(), 30);
  crowd.Send(
      {"stalled bodies", RequestWithBody("Transfer-Encoding: chunked", ""),
       chunk, kMaxBodyBytes * 9 / 10},
      Millis(700));
  const std::string large =
      CallRaw(cluster.CallerAddress(0),
              RequestWithBody(Concat("Content-Length: ", kMaxBodyBytes),
                              std::string(kMaxBodyBytes, 'b')),
              kTimeout);
  // The connection may be reset before the refusal has been read.
  CHECK((large.empty() || large.starts_with("HTTP/1.1 503")));
  CHECK(cluster.Engine(0).Runs().empty());
  CHECK(CallRaw(cluster.CallerAddress(0), RequestWithHead(1'000), kTimeout)
            .starts_with("HTTP/1.1 200"));
}

}  // namespace
}  // namespace bronzecross
