#include <doctest/doctest.h>

#include "gateway/caller_reply.h"
#include "gateway/gateway_settings.h"
#include "gateway/peer_calls.h"

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

}  // namespace
}  // namespace bronzecross
