// A planned stop of a real gateway process while replicas are still at work,
// and callers that send requests through all of it.

#include <doctest/doctest.h>

#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <thread>

#include "base/net_address.h"
#include "base/text.h"
#include "harness/cluster.h"
#include "harness/gateway_cluster.h"
#include "standins/raw_replica_standin.h"

namespace bronzecross {
namespace {

// A connection of a caller that sends its requests in pieces of its choice.
class PieceCaller {
 public:
  explicit PieceCaller(const NetAddress& address) {
    const Result<int> fd = ConnectTcp(address, Millis(1'000));
    m_fd = fd ? *fd : -1;
  }
  ~PieceCaller() { close(m_fd); }
  PieceCaller(const PieceCaller&) = delete;
  PieceCaller& operator=(const PieceCaller&) = delete;

  bool IsConnected() const { return m_fd >= 0; }
  void Send(std::string_view bytes) { SendAll(m_fd, std::string(bytes)); }

  // Reads until the connection ends, or until a whole response has arrived.
  // Returns its status; 0: the connection ended without a whole response.
  int ReadStatus(Millis timeout) {
    const Millis until = MonotonicNow() + timeout;
    std::string bytes;
    std::array<char, 4096> buffer;
    while (MonotonicNow() < until && !IsWhole(bytes)) {
      pollfd entry = {m_fd, POLLIN, 0};
      if (poll(&entry, 1, 50) <= 0) {
        continue;
      }
      const ssize_t count = recv(m_fd, buffer.data(), buffer.size(), 0);
      if (count <= 0) {
        break;
      }
      bytes.append(buffer.data(), static_cast<size_t>(count));
    }
    return IsWhole(bytes) ? std::atoi(bytes.substr(9, 3).c_str()) : 0;
  }

 private:
  static bool IsWhole(std::string_view bytes) {
    constexpr std::string_view kLength = "Content-Length: ";
    const size_t end = bytes.find("\r\n\r\n");
    const size_t length = bytes.find(kLength);
    return end != std::string_view::npos && length < end &&
           bytes.size() - end - 4 >=
               static_cast<size_t>(std::atoi(
                   std::string(bytes.substr(length + kLength.size())).c_str()));
  }

  int m_fd = -1;
};

std::string RequestBytes(std::string_view target, std::string_view id) {
  return Concat("POST ", target,
                " HTTP/1.1\r\nHost: gateway.test\r\nRequest-Id: ", id,
                "\r\nAuthorization: Bearer key-a\r\nDeadline-Ms: 20000\r\n"
                "Content-Length: 8\r\n\r\nquestion");
}

// One request in a stop that begins at 0.
struct LateRequest {
  Millis m_connects;  // negative: before the stop, on a kept connection
  Millis m_begins;    // sends a part
  Millis m_ends;      // sends the rest
  size_t m_part = 1;  // bytes sent at m_begins
};

// Guards against requests that a stopping VM passes on and cuts when it exits:
// each gets a whole response, and one that says "not run" is true.
TEST_CASE("a stop cuts no request, however late and slowly it arrives") {
  GatewayClusterOptions options;
  options.m_vms = 1;
  options.m_engines = 1;
  GatewayCluster cluster(options);
  // An answer that has begun and never ends.
  RawReplicaScript script;
  script.m_begin =
      "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  script.m_repeated = "1\r\nx\r\n";
  script.m_pause = Millis(100);
  RawReplicaStandin raw(script);
  cluster.Engine(0).SetListedAddress(raw.Address());
  cluster.Engine(0).Register("ready");
  CHECK(WaitFor([&] {
    GatewayRequest probe;
    probe.m_target = "/once/x";
    probe.m_id = "probe";
    probe.m_deadline_ms = 100;
    cluster.Call(probe);
    return raw.Requests() > 0;
  }));
  const int before = raw.Requests();
  std::vector<LateRequest> requests;
  for (int at = 200; at < 2'500; at += 300) {
    requests.push_back({Millis(-1), Millis(std::min(at, 1'300)),
                        Millis(std::min(at, 1'300)), 1});
    requests.push_back({Millis(at), Millis(at), Millis(at), 1});
    // The head, and then the body, is complete later.
    requests.push_back({Millis(at), Millis(at), Millis(at + 2'500), 40});
    requests.push_back({Millis(at), Millis(at), Millis(at + 4'000),
                        RequestBytes("/once/x", "r10").size() - 3});
  }
  std::atomic<int> connected = 0;
  std::atomic<int> cut = 0;
  std::atomic<int> may_have_run = 0;
  std::atomic<int> not_run = 0;
  std::atomic<int> kept = 0;
  std::atomic<int64_t> stop_at = 0;
  std::vector<std::thread> callers;
  for (size_t i = 0; i < requests.size(); ++i) {
    callers.emplace_back([&, i] {
      const LateRequest& late = requests[i];
      const auto wait_until = [&](Millis at) {
        while (stop_at == 0 || MonotonicNow().count() < stop_at + at.count()) {
          SleepFor(Millis(5));
        }
      };
      if (late.m_connects >= Millis()) {
        wait_until(late.m_connects);
      }
      PieceCaller caller(cluster.CallerAddress(0));
      if (late.m_connects < Millis() && caller.IsConnected()) {
        caller.Send(RequestBytes("/nowhere/x", "first"));
        CHECK(caller.ReadStatus(Millis(5'000)) == 404);
        ++kept;
      }
      if (!caller.IsConnected()) {
        return;
      }
      ++connected;
      const std::string bytes = RequestBytes("/once/x", Concat("r", i));
      wait_until(late.m_begins);
      caller.Send(bytes.substr(0, late.m_part));
      wait_until(late.m_ends);
      caller.Send(bytes.substr(late.m_part));
      const int status = caller.ReadStatus(Millis(10'000));
      CAPTURE(i);
      CHECK((status == 0 || status == 408 || status == 502 || status == 503));
      cut += status == 0 ? 1 : 0;
      may_have_run += status == 502 ? 1 : 0;
      not_run += status == 408 || status == 503 ? 1 : 0;
    });
  }
  CHECK(WaitFor([&] { return kept == 8; }));
  stop_at = MonotonicNow().count();
  cluster.Vm(0).Signal(SIGTERM);
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK(connected > 8);
  CHECK(cut == 0);
  CHECK(may_have_run > 0);
  CHECK(not_run > 0);
  CHECK(raw.Requests() - before == may_have_run);
  CHECK(cluster.Vm(0).Wait(Millis(10'000)) == 0);
}

}  // namespace
}  // namespace bronzecross
