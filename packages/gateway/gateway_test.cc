#include <doctest/doctest.h>

#include "gateway/caller_reply.h"
#include "gateway/gateway_settings.h"
#include "gateway/peer_calls.h"
#include "gateway/token_calls.h"

namespace bronzecross {
namespace {

constexpr const char* kSettings = R"([vm]
id = "vm-1"
availability_zone = "z"
[listen]
callers = "10.1.0.5:8405"
readiness = "10.1.0.5:8406"
peers = "10.1.0.5:7660"
bootstrap = "10.1.0.5:8407"
metrics = "10.1.0.5:7662"
[store]
address = "10.200.1.7:8408"
[cluster]
seeds = ["10.2.0.3:8407"]
)";

// Guards against VMs that ask one another for store calls without end while the
// store is away for all of them.
TEST_CASE("relayed calls become rare while no peer can relay them") {
  Millis passed;
  int calls = 0;
  for (; passed < Millis(10'000); ++calls) {
    passed += RelayPause(calls);
  }
  CHECK(RelayPause(0) <= Millis(100));
  CHECK(calls < 12);
}

TEST_CASE("settings are parsed, and missing keys get their defaults") {
  const Result<GatewaySettings> settings =
      ParseGatewaySettings(kSettings, "s.toml");
  REQUIRE(settings);
  CHECK(settings->m_callers.m_port == 8405);
  CHECK(settings->m_seeds.size() == 1);
  CHECK(settings->m_drain_limit == Millis(7'000));
  CHECK_FALSE(settings->m_prompt_affinity);
  const Result<GatewaySettings> affine = ParseGatewaySettings(
      std::string(kSettings) +
          "[dispatch]\nprompt_affinity = true\nprefill_tokens_per_ms = 90\n",
      "s.toml");
  REQUIRE(affine);
  CHECK(affine->m_prompt_affinity);
  CHECK(affine->m_prefill_tokens_per_ms == 90);
  CHECK_FALSE(ParseGatewaySettings(
      std::string(kSettings) + "[dispatch]\nprefill_tokens_per_ms = 0\n",
      "s.toml"));
}

TEST_CASE("the settings of placement are read and have defaults") {
  Result<GatewaySettings> settings = ParseGatewaySettings(kSettings, "s.toml");
  REQUIRE(settings);
  CHECK(settings->m_placement.m_cold_over == 1.5);
  CHECK(settings->m_placement.m_cold_slack == 5);
  const std::string text = std::string(kSettings) + "[placement]\n";
  settings = ParseGatewaySettings(text + "cold_over = 2\ncold_slack = 3.5\n",
                                  "s.toml");
  REQUIRE(settings);
  CHECK(settings->m_placement.m_cold_over == 2);
  CHECK(settings->m_placement.m_cold_slack == 3.5);
  CHECK_FALSE(ParseGatewaySettings(text + "cold_over = -1\n", "s.toml"));
  settings = ParseGatewaySettings(
      text + "region = \"x\"\n[placement.zone_regions]\n\"z-1\" = \"x\"\n",
      "s.toml");
  REQUIRE(settings);
  CHECK(settings->m_placement.m_region == "x");
  CHECK(settings->m_placement.m_zone_regions.at("z-1") == "x");
  CHECK_FALSE(ParseGatewaySettings(text + "[placement.zone_regions]\nz = 1\n",
                                   "s.toml"));
}

TEST_CASE(
    "bounds on callers are parsed, and come from the machine by default") {
  const Result<GatewaySettings> none = ParseGatewaySettings(kSettings, "s");
  REQUIRE(none);
  CHECK(none->m_budget_mb == 0);
  CHECK(none->m_max_connections == 0);
  const std::string text = std::string(kSettings) +
                           "[memory]\nmachine_mb = 120\nbudget_mb = 30\n"
                           "[callers]\nmax_descriptors = 3075\n"
                           "max_connections = 9\nmin_body_bytes_per_s = 7\n"
                           "body_grace_ms = 900\n";
  const Result<GatewaySettings> settings = ParseGatewaySettings(text, "s");
  REQUIRE(settings);
  CHECK(settings->m_machine_mb == 120);
  CHECK(settings->m_budget_mb == 30);
  CHECK(settings->m_max_descriptors == 3'075);
  CHECK(settings->m_max_connections == 9);
  CHECK(settings->m_min_body_bytes_per_s == 7);
  CHECK(settings->m_body_grace == Millis(900));
  CHECK_FALSE(ParseGatewaySettings(
      std::string(kSettings) + "[memory]\nbudget_mb = -1\n", "s"));
}

TEST_CASE("invalid settings are rejected with file, line and reason") {
  std::string text = kSettings;
  text.replace(text.find("10.200.1.7:8408"), 15, "store.example:1");
  text += "[limits]\ndrain_limit_ms = -1\nodd = 2\n";
  const Result<GatewaySettings> settings = ParseGatewaySettings(text, "s.toml");
  REQUIRE_FALSE(settings);
  const std::string& message = settings.error().m_message;
  CHECK(message.find("s.toml:11") != std::string::npos);
  CHECK(message.find("drain_limit_ms") != std::string::npos);
  CHECK(message.find("odd") != std::string::npos);
  CHECK_FALSE(ParseGatewaySettings("[vm", "s.toml"));
  CHECK_FALSE(ParseGatewaySettings("", "s.toml"));
}

TEST_CASE(
    "statuses that mean 'not run' are not used if the request may have run") {
  Error error;
  error.m_code = ResultCode::kOverloaded;
  CHECK(StatusOf(error) == 503);
  error.m_run = RunState::kUnknown;
  CHECK(StatusOf(error) == 502);
  error.m_code = ResultCode::kRateLimited;
  CHECK(StatusOf(error) == 502);
  error.m_code = ResultCode::kDeadlineExceeded;
  CHECK(StatusOf(error) == 504);
}

TEST_CASE("error responses carry the run state and the retry-after time") {
  Error error;
  error.m_code = ResultCode::kOverloaded;
  error.m_message = "bytes \xff";
  error.m_retry_after = Millis(1'250);
  const std::string text = MakeErrorReply(error).Serialize(false);
  CHECK(text.starts_with("HTTP/1.1 503 "));
  CHECK(text.find("Retry-After: 1.25\r\n") != std::string::npos);
  CHECK(text.find("Connection: close\r\n") != std::string::npos);
  CHECK(text.find("\"run\":\"not_run\"") != std::string::npos);
  // The response to a HEAD request must end after its header: the caller would
  // read a body as the start of the next response.
  CHECK(MakeErrorReply(error)
            .Serialize(true, ResponseBody::kNone)
            .ends_with("\r\n\r\n"));
}

// Guards against lost priorities and times, and against VMs of an earlier
// version, which send only the id and the wait budget, being refused.
TEST_CASE("requests for rate tokens keep their fields between VMs") {
  TokenRequest request;
  request.m_request_id = "r1";
  request.m_priority = 2;
  request.m_wait_budget = Millis(60);
  request.m_max_wait = Millis(150);
  request.m_prompt_refusal = Millis(75);
  request.m_time_left = Millis(4'900);
  request.m_is_passed_on = true;
  MessageHead head;
  EncodeTokenRequest(request, head);
  const std::optional<TokenRequest> decoded = DecodeTokenRequest(head);
  REQUIRE(decoded);
  CHECK(decoded->m_request_id == "r1");
  CHECK(decoded->m_priority == 2);
  CHECK(decoded->m_wait_budget == Millis(60));
  CHECK(decoded->m_max_wait == Millis(150));
  CHECK(decoded->m_prompt_refusal == Millis(75));
  CHECK(decoded->m_time_left == Millis(4'900));
  CHECK(decoded->m_is_passed_on);

  MessageHead earlier;
  CHECK_FALSE(DecodeTokenRequest(earlier));
  earlier.Add(kPeerWaitBudgetField, "60");
  const std::optional<TokenRequest> old = DecodeTokenRequest(earlier);
  REQUIRE(old);
  CHECK(old->m_max_wait == Millis(60));
  CHECK(old->m_prompt_refusal == Millis(60));
  CHECK_FALSE(old->m_time_left);
  CHECK_FALSE(old->m_is_passed_on);
}

// Guards against a workspace's own priority being ignored, and against waits
// that count the time before the request for a token once more.
TEST_CASE("a request for a rate token has the workspace's own priority") {
  Route route;
  route.m_priority = 2;
  route.m_latency_target = Millis(300);
  Workspace workspace;
  IncomingRequest incoming;
  incoming.m_route = &route;
  incoming.m_workspace = &workspace;
  incoming.m_arrived = Millis(1'000);
  CHECK(MakeTokenRequest(incoming, Millis(1'000)).m_priority == 2);
  workspace.m_priority = 0;
  incoming.m_fields.m_wait_budget = Millis(5'000);
  const TokenRequest request = MakeTokenRequest(incoming, Millis(1'100));
  CHECK(request.m_priority == 0);
  CHECK(request.m_max_wait == Millis(50));
  CHECK(request.m_prompt_refusal == Millis());
  CHECK(request.m_time_left == Millis(4'900));
}

}  // namespace
}  // namespace bronzecross
