// Runs the gateway's parsers over mutations of valid input, with a fixed seed.
// A crash, a sanitizer report or a hang fails, as does an HTTP parser whose
// result depends on how the bytes are split. BRONZECROSS_FUZZ_RUNS sets the
// number of mutations of each input.

#include <cstdlib>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "cluster/gossip_message.h"
#include "dispatch/event_splitter.h"
#include "gateway/changes_message.h"
#include "hostile/corpus.h"
#include "http1/message_parser.h"
#include "platform/batch_calls.h"
#include "platform/config_document.h"
#include "platform/keys.h"
#include "platform/request_headers.h"
#include "platform/submission_decoder.h"
#include "platform/upstream_entry.h"
#include "standins/platform_caller.h"

namespace bronzecross {
namespace {

constexpr uint64_t kSeed = 20'261'206;
constexpr int kDefaultRuns = 400;

// The parser may hold this many times the bytes that it was fed, and one array
// of fields, since strings grow by doubling and short fields cost more than
// their bytes.
constexpr size_t kMaxCost = 64;
constexpr size_t kMinCost = 4'096;

int MutationsPerInput() {
  const char* runs = std::getenv("BRONZECROSS_FUZZ_RUNS");
  return runs == nullptr ? kDefaultRuns : std::atoi(runs);
}

struct ParsedMessage {
  ParseState m_state = ParseState::kHead;
  std::string m_text;  // head and body
  size_t m_consumed = 0;
};

// Feeds `input` in pieces of up to `max_piece` bytes.
ParsedMessage Parse(MessageKind kind,
                    std::string_view input,
                    size_t max_piece,
                    Random& random) {
  MessageParser parser(kind);
  ParsedMessage parsed;
  while (parsed.m_consumed < input.size() &&
         parser.GetState() != ParseState::kComplete &&
         parser.GetState() != ParseState::kFailed) {
    const size_t piece = 1 + RandomBelow(random, max_piece);
    parsed.m_consumed += parser.Feed(input.substr(parsed.m_consumed, piece));
    CHECK(parser.HeldBytes() <= kMinCost + kMaxCost * input.size());
  }
  parsed.m_state = parser.GetState();
  const MessageHead& head = parser.GetHead();
  parsed.m_text =
      head.m_method + ' ' + head.m_target + ' ' + std::to_string(head.m_status);
  for (const HeaderField& field : head.m_fields) {
    parsed.m_text += '\n' + field.m_name + '=' + field.m_value;
  }
  parsed.m_text += '\n' + parser.Body();
  if (kind == MessageKind::kRequest) {
    platform::DecodeCallerFields(head);
    platform::DecodeJobCall(head);
  }
  parser.FeedEnd();
  parser.Reset();
  CHECK(parser.HeldBytes() <= kMinCost + input.size());
  return parsed;
}

std::vector<std::string> HttpRequests() {
  std::vector<std::string> inputs = LoadCorpus("http");
  inputs.push_back(
      "\r\n\r\nPOST /a?b=c HTTP/1.1\r\nHost: h\r\nDeadline-Ms: 5\r\n"
      "Token-Count: 5,6\r\nPrompt-Prefix: a:1,b:2\r\n"
      "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n2;e=f\r\nyz\r\n0\r\n"
      "T: u\r\n\r\nGET /next HTTP/1.1\r\n\r\n");
  return inputs;
}

std::vector<std::string> HttpResponses() {
  return {
      "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nServer-Load: 1,2,8\r\n"
      "Content-Length: 5\r\n\r\nhelloHTTP/1.1 503 No\r\n\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "a\r\ndata: 123\n\r\n0\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 Gone\r\n\r\n"};
}

void CheckHttp(MessageKind kind, const std::vector<std::string>& inputs) {
  Random random(kSeed);
  for (const std::string& input : inputs) {
    for (int i = 0; i < MutationsPerInput(); ++i) {
      const std::string mutated = i == 0 ? input : Mutate(input, random);
      const ParsedMessage whole =
          Parse(kind, mutated, mutated.size() + 1, random);
      const ParsedMessage split = Parse(kind, mutated, 3, random);
      CHECK(whole.m_state == split.m_state);
      if (whole.m_state == ParseState::kComplete) {
        CHECK(whole.m_text == split.m_text);
        CHECK(whole.m_consumed == split.m_consumed);
      }
    }
  }
}

// Guards against requests that this parser and an upstream's see differently,
// and against memory that grows faster than the bytes received.
TEST_CASE("an HTTP request is parsed in the same way however it is split") {
  CheckHttp(MessageKind::kRequest, HttpRequests());
}

TEST_CASE("an HTTP response is parsed in the same way however it is split") {
  CheckHttp(MessageKind::kResponse, HttpResponses());
}

struct GatewayParser {
  std::string_view m_name;
  std::string m_input;
  // Returns whether the parser accepted the input.
  bool (*m_parse)(std::string_view input);
};

GossipMessage MakeSampleGossip() {
  GossipMessage gossip;
  gossip.m_sender.m_id = "vm-1";
  gossip.m_sender.m_incarnation = 1;
  gossip.m_sender.m_zone = "z";
  gossip.m_sender.m_address = {"10.1.0.9", 80};
  gossip.m_sequence = 7;
  gossip.m_uses = {{1, 2, 3, 1, 4.5}};
  gossip.m_levels = {{1, 2.5, 3}};
  gossip.m_grants = {{1, 2, 3, 4}};
  gossip.m_backlogs = {{1, 2}};
  gossip.m_waiting_tokens = {{1, 2}};
  gossip.m_queues = {{1, 2}};
  gossip.m_jobs = {{"job", true, 5}};
  gossip.m_request_reports = {{1, Millis(2), {{3, Millis(4), Millis(5)}}}};
  gossip.m_part_crashes = {{1, Millis(2), {3, 4}}};
  gossip.m_blamed_parts = {{1, Millis(2)}};
  gossip.m_exonerated_parts = {{1, Millis(2)}};
  return gossip;
}

KvChanges MakeSampleChanges() {
  KvChanges changes;
  changes.m_known_up_to = 9;
  KvEvent event;
  event.m_item.m_key = "a/1";
  event.m_item.m_value = "value";
  event.m_item.m_revision = 8;
  changes.m_events = {event, event};
  return changes;
}

bool ParseUpstream(std::string_view input) {
  KvItem item;
  item.m_key = std::string(platform::kUpstreamPrefix) + "i-1";
  item.m_value = std::string(input);
  return platform::DecodeUpstreamEntry(item).has_value();
}

bool ParseEvents(std::string_view input) {
  EventSplitter splitter;
  splitter.Feed(input);
  StreamEvent event;
  bool any = false;
  while (splitter.Next(event)) {
    any = true;
  }
  return any;
}

std::vector<GatewayParser> GatewayParsers() {
  return {
      {"gossip", EncodeGossip(MakeSampleGossip()),
       [](std::string_view input) { return DecodeGossip(input).has_value(); }},
      {"changes", EncodeChanges(MakeSampleChanges()),
       [](std::string_view input) { return DecodeChanges(input).has_value(); }},
      {"VM record", EncodeVmRecord(MakeSampleGossip().m_sender),
       [](std::string_view input) {
         return DecodeVmRecord(input).has_value();
       }},
      {"configuration",
       R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",
       "kind":"streaming","timeoutMs":5000,"targetLatencyMs":300,"service":"a",
       "maxAttempts":2}],"services":[{"name":"a"}],"limits":
       {"maxHeaderBytes":1},"tenants":[{"name":"t","apiKeys":["k"]}]})",
       [](std::string_view input) {
         return platform::DecodeConfig(input).has_value();
       }},
      {"upstream entry",
       R"({"service":"a","address":"10.1.0.9:80","zone":"z","slots":8,
       "version":"v1","coldLeftMs":0,"callSeq":4,"state":"draining",
       "born":1786000000123})",
       ParseUpstream},
      {"events", "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n", ParseEvents},
      {"job", PlatformJobBody("job", 2),
       [](std::string_view input) {
         return platform::DecodeSubmission(input).has_value();
       }},
  };
}

// Guards against a message of one sender that ends the process.
TEST_CASE("no parser of the gateway fails on mutated input") {
  Random random(kSeed);
  for (const GatewayParser& parser : GatewayParsers()) {
    CAPTURE(parser.m_name);
    // Mutations of an input that isn't valid would test little.
    CHECK(parser.m_parse(parser.m_input));
    for (int i = 0; i < 10 * MutationsPerInput(); ++i) {
      parser.m_parse(Mutate(parser.m_input, random));
    }
  }
}

}  // namespace
}  // namespace bronzecross
