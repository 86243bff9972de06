#include <atomic>
#include <thread>
#include <vector>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "peers/message.h"
#include "peers/peer_client.h"
#include "peers/peer_server.h"

namespace bronzecross {
namespace {

constexpr Millis kTimeout{5000};

void RegisterEcho(PeerServer& server) {
  server.Register("echo", PeerDispatch::kOnConnection,
                  [](std::string_view body, Millis) -> Result<std::string> {
                    return std::string(body);
                  });
}

}  // namespace

// Guards against replies that are delivered to the wrong call.
TEST_CASE("concurrent calls on one connection each receive their own reply") {
  PeerServer server({"127.0.0.1", 0});
  server.Register("slow", PeerDispatch::kOnWorker,
                  [](std::string_view body, Millis) -> Result<std::string> {
                    SleepFor(Millis(body.size() % 7));
                    return std::string(body);
                  });
  REQUIRE(server.Start().has_value());
  PeerClient client;
  std::atomic<int> wrong_replies = 0;
  std::vector<std::thread> threads;
  for (int thread = 0; thread < 8; ++thread) {
    threads.emplace_back([&, thread] {
      for (int i = 0; i < 50; ++i) {
        const std::string body(static_cast<size_t>(thread * 50 + i), 'a');
        const Result<std::string> reply =
            client.Call(server.Address(), "slow", body, kTimeout);
        wrong_replies += !reply || *reply != body ? 1 : 0;
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(wrong_replies == 0);
}

TEST_CASE("a message of several megabytes is transferred in both directions") {
  PeerServer server({"127.0.0.1", 0});
  RegisterEcho(server);
  REQUIRE(server.Start().has_value());
  PeerClient client;
  const std::string body(20 << 20, 'x');
  const Result<std::string> reply =
      client.Call(server.Address(), "echo", body, kTimeout);
  REQUIRE(reply.has_value());
  CHECK(*reply == body);
}

TEST_CASE("errors keep their code, message and run state") {
  PeerServer server({"127.0.0.1", 0});
  server.Register("fail", PeerDispatch::kOnConnection,
                  [](std::string_view, Millis) -> Result<std::string> {
                    return FailMayHaveRun(ResultCode::kFenced, "old epoch");
                  });
  REQUIRE(server.Start().has_value());
  PeerClient client;
  const Result<std::string> reply =
      client.Call(server.Address(), "fail", "", kTimeout);
  REQUIRE_FALSE(reply.has_value());
  CHECK(reply.error().m_code == ResultCode::kFenced);
  CHECK(reply.error().m_message == "old epoch");
  CHECK(reply.error().m_run == RunState::kUnknown);
}

// Guards against calls that block on a stopped peer, and against a client that
// never reconnects to a restarted one.
TEST_CASE("calls fail while a peer is stopped and succeed after its restart") {
  std::unique_ptr<PeerServer> server =
      std::make_unique<PeerServer>(NetAddress{"127.0.0.1", 0});
  RegisterEcho(*server);
  REQUIRE(server->Start().has_value());
  const NetAddress address = server->Address();
  PeerClient client;
  CHECK(client.Call(address, "echo", "1", kTimeout).has_value());
  server.reset();
  CHECK_FALSE(client.Call(address, "echo", "2", kTimeout).has_value());
  server = std::make_unique<PeerServer>(address);
  RegisterEcho(*server);
  REQUIRE(server->Start().has_value());
  bool reconnected = false;
  for (int i = 0; i < 100 && !reconnected; ++i) {
    reconnected = client.Call(address, "echo", "3", kTimeout).has_value();
    SleepFor(Millis(10));
  }
  CHECK(reconnected);
}

TEST_CASE("invalid MessagePack is rejected") {
  const std::string bytes = EncodeMessage({{"a", 1}});
  CHECK(DecodeMessage(bytes).has_value());
  CHECK_FALSE(DecodeMessage(bytes.substr(0, bytes.size() - 1)).has_value());
  CHECK_FALSE(DecodeMessage("\xc1").has_value());
}

}  // namespace bronzecross
