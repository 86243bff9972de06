// Runs every parser over the kept corpus and mutations of it, and the two
// servers over damaged bytes. A crash, a sanitizer report or a hang fails.

#include <thread>
#include <vector>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "hostile/corpus.h"
#include "hostile/parsers.h"
#include "hostile/raw_socket.h"
#include "http/http_client.h"
#include "http/http_error_reply.h"
#include "http/http_server.h"
#include "peers/message.h"
#include "peers/peer_client.h"
#include "peers/peer_server.h"

namespace bronzecross {
namespace {

constexpr int kMutationsPerInput = 300;
constexpr int kServerMutationsPerInput = 30;
constexpr Millis kSocketTimeout{300};
constexpr uint64_t kSeed = 7;
constexpr size_t kSenders = 16;

// Sends every input of the corpus `name`, and mutations of it, to `server`.
void SendCorpus(const NetAddress& server, std::string_view name) {
  Random random(kSeed);
  std::vector<std::string> inputs;
  for (const std::string& input : LoadCorpus(name)) {
    inputs.push_back(input);
    for (int i = 0; i < kServerMutationsPerInput; ++i) {
      inputs.push_back(Mutate(input, random));
    }
  }
  std::vector<std::thread> senders;
  for (size_t sender = 0; sender < kSenders; ++sender) {
    senders.emplace_back([&, sender] {
      for (size_t i = sender; i < inputs.size(); i += kSenders) {
        SendRaw(server, inputs[i], kSocketTimeout);
      }
    });
  }
  for (std::thread& sender : senders) {
    sender.join();
  }
}

}  // namespace

TEST_CASE("no parser fails on hostile input, and each accepts a good one") {
  Random random(kSeed);
  int64_t inputs = 0;
  for (const HostileParser& parser : HostileParsers()) {
    bool accepted = false;
    for (const std::string& input : LoadCorpus(parser.m_name)) {
      accepted = parser.m_parse(input) || accepted;
      ++inputs;
      for (int i = 0; i < kMutationsPerInput; ++i) {
        parser.m_parse(Mutate(input, random));
        ++inputs;
      }
    }
    CAPTURE(parser.m_name);
    // A corpus of which nothing is accepted would test little.
    CHECK(accepted);
  }
  MESSAGE("parser inputs: ", inputs);
}

TEST_CASE("the caller's port survives damaged HTTP and goes on serving") {
  HttpServerOptions options;
  options.m_address = {"127.0.0.1", 0};
  HttpServer server(
      options, {[](HttpRequest&) {
                  return BodyPlan{4096,
                                  [](std::string_view) { return Status(); },
                                  std::nullopt};
                },
                [](HttpRequest&, const Status& body) {
                  return body ? JsonReply(200, "{}") : ErrorReply(body.error());
                }});
  REQUIRE(server.Start().has_value());
  SendCorpus(server.Address(), "http");
  HttpClient client;
  HttpCall call;
  call.m_url = "http://" + server.Address().ToString() + "/";
  const Result<HttpAnswer> answer = client.Call(call);
  REQUIRE(answer.has_value());
  CHECK(answer->m_status == 200);
}

TEST_CASE("the peer port survives damaged HTTP/2 and goes on serving") {
  PeerServer server({"127.0.0.1", 0});
  server.Register("echo", PeerDispatch::kOnConnection,
                  [](std::string_view body, Millis) -> Result<std::string> {
                    const Result<nlohmann::json> message = DecodeMessage(body);
                    if (!message) {
                      return tl::unexpected<Error>(message.error());
                    }
                    return EncodeMessage(*message);
                  });
  REQUIRE(server.Start().has_value());
  SendCorpus(server.Address(), "http2");
  PeerClient client;
  CHECK(client
            .Call(server.Address(), "echo", EncodeMessage({{"a", 1}}),
                  Millis(5000))
            .has_value());
}

}  // namespace bronzecross
