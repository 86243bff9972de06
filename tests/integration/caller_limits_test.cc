// Requests of exactly the sizes that the configuration allows, at a gateway
// process that bounds what callers outside the limits cost.

#include <doctest/doctest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdio>

#include "base/text.h"
#include "harness/gateway_cluster.h"
#include "hostile/raw_socket.h"

namespace bronzecross {
namespace {

// The limits of the stand-in's configuration.
constexpr size_t kMaxHeaderBytes = 16'384;
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

// The body in chunks of `chunk_bytes`.
std::string ChunkedBody(std::string_view body, size_t chunk_bytes) {
  std::string text;
  char size[16];
  for (size_t at = 0; at < body.size(); at += chunk_bytes) {
    const std::string_view chunk = body.substr(at, chunk_bytes);
    std::snprintf(size, sizeof(size), "%zx", chunk.size());
    text += Concat(size, "\r\n", chunk, "\r\n");
  }
  return text + "0\r\n\r\n";
}

// Guards against bounds on hostile callers that reject a single request inside
// the limits.
TEST_CASE("a request of exactly the allowed sizes is served") {
  for (const std::string_view settings :
       {"", "[memory]\nbudget_mb = 8\n", "[memory]\nmachine_mb = 120\n"}) {
    CAPTURE(settings);
    GatewayCluster cluster(OneVm(settings));
    const NetAddress callers = cluster.CallerAddress(0);
    const std::string body(kMaxBodyBytes, 'b');
    const std::string length = Concat("Content-Length: ", kMaxBodyBytes);
    const std::string chunked = "Transfer-Encoding: chunked";
    // More than one of each: nothing may stay counted.
    for (int i = 0; i < 12; ++i) {
      for (const std::string& request :
           {RequestWithHead(kMaxHeaderBytes), RequestWithBody(length, body),
            RequestWithBody(chunked, ChunkedBody(body, 0x10000)),
            RequestWithBody(chunked, ChunkedBody(body.substr(0, 90'000), 1))}) {
        CHECK(CallRaw(callers, request, kTimeout).starts_with("HTTP/1.1 200"));
      }
    }
    // One byte more isn't. The server may close while the rest is being sent.
    CHECK_FALSE(CallRaw(callers, RequestWithHead(2 * kMaxHeaderBytes), kTimeout)
                    .starts_with("HTTP/1.1 200"));
    CHECK(CallRaw(callers,
                  RequestWithBody(Concat("Content-Length: ", kMaxBodyBytes + 1),
                                  ""),
                  kTimeout)
              .starts_with("HTTP/1.1 413"));
    CHECK_FALSE(
        CallRaw(callers,
                RequestWithBody(chunked, ChunkedBody(body + "b", 0x10000)),
                kTimeout)
            .starts_with("HTTP/1.1 200"));
  }
}

// Guards against a caller that keeps a connection and its memory with a byte
// now and then. The refusal says that the request hasn't run.
TEST_CASE("a body slower than the minimum rate is refused") {
  GatewayCluster cluster(OneVm("[callers]\nbody_grace_ms = 300\n"));
  const Result<int> fd = ConnectTcp(cluster.CallerAddress(0), kTimeout);
  REQUIRE(fd);
  REQUIRE(SendAll(*fd, RequestWithBody("Content-Length: 1000", "")));
  std::array<char, 256> buffer;
  ssize_t count = -1;
  for (int sent = 0; sent < 200 && count < 0; ++sent) {
    SendAll(*fd, "x");
    SleepFor(Millis(20));
    count = recv(*fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
  }
  REQUIRE(count > 0);
  CHECK(std::string_view(buffer.data(), static_cast<size_t>(count))
            .starts_with("HTTP/1.1 408"));
  close(*fd);
  CHECK(cluster.Engine(0).Runs().empty());
}

}  // namespace
}  // namespace bronzecross
