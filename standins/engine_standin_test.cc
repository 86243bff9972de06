#include "standins/engine_standin.h"

#include <doctest/doctest.h>

#include "http/http_client.h"

namespace bronzecross {
namespace {

HttpCall ChatCall(const EngineStandin& engine, const std::string& body) {
  HttpCall call;
  call.m_method = "POST";
  call.m_url = engine.Url() + "/v1/chat/completions";
  call.m_body = body;
  return call;
}

}  // namespace

TEST_CASE("the engine answers plain, streamed and continued requests alike") {
  EngineStandin engine({});
  HttpClient client;
  const std::string plain =
      R"({"model":"m","max_tokens":4,"messages":[{"role":"user",)"
      R"("content":"hi"}]})";
  const Result<HttpAnswer> answer = client.Call(ChatCall(engine, plain));
  REQUIRE(answer.has_value());
  CHECK(nlohmann::json::parse(
            answer->m_body)["choices"][0]["message"]["content"] ==
        EngineAnswer("hi", 4));
  const std::string continued =
      R"({"model":"m","max_tokens":4,"continue_final_message":true,)"
      R"("messages":[{"role":"user","content":"hi"},{"role":"assistant",)"
      R"("content":")" +
      EngineAnswer("hi", 3) + R"("}]})";
  const Result<HttpAnswer> rest = client.Call(ChatCall(engine, continued));
  REQUIRE(rest.has_value());
  CHECK(
      nlohmann::json::parse(rest->m_body)["choices"][0]["message"]["content"] ==
      EngineToken("hi", 3));
  CHECK(engine.Finished() == 2);
}

TEST_CASE("a marked request crashes the engine, which can be restarted") {
  EngineStandin engine({});
  HttpClient client;
  const std::string body =
      R"({"model":"m","messages":[{"role":"user","content":")" +
      std::string(kCrashMark) + R"("}]})";
  CHECK_FALSE(client.Call(ChatCall(engine, body)).has_value());
  while (engine.IsRunning()) {
    SleepFor(Millis(5));
  }
  engine.Restart();
  const std::string good =
      R"({"model":"m","messages":[{"role":"user","content":"x"}]})";
  CHECK(client.Call(ChatCall(engine, good)).has_value());
}

}  // namespace bronzecross
