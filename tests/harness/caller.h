// A caller that checks each answer.

#ifndef BRONZECROSS_TESTS_HARNESS_CALLER_H_
#define BRONZECROSS_TESTS_HARNESS_CALLER_H_

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "http/http_client.h"

namespace bronzecross {

struct ChatRequest {
  std::string m_url;  // of the entry VM
  std::string m_key;
  std::string m_model = "m";
  std::string m_prompt;
  int64_t m_tokens = 8;
  bool m_stream = false;
  Millis m_timeout{30'000};
};

struct ChatOutcome {
  // 0 if no whole answer came.
  int m_status = 0;
  // Whether the text is exactly the engine's answer to this prompt.
  bool m_correct = false;
  // Whether the answer ended as a whole one, right or wrong.
  bool m_whole = false;
  // "not_run", "unknown" or empty; of a lost connection, whether a byte of the
  // request was sent.
  std::string m_run;
  std::string m_error_code;
  double m_latency_ms = 0;
  double m_first_token_ms = 0;
};

// Thread-safe.
class TestCaller {
 public:
  ChatOutcome Chat(const ChatRequest& request);

  // Any other call, with the key as bearer.
  Result<HttpAnswer> Call(std::string_view method,
                          const std::string& url,
                          std::string_view key,
                          std::string_view body = {},
                          std::vector<HttpHeader> headers = {},
                          Millis timeout = Millis(30'000));
  // The same with the answer parsed; null if there is no whole JSON answer.
  nlohmann::json CallJson(std::string_view method,
                          const std::string& url,
                          std::string_view key,
                          std::string_view body = {});

 private:
  HttpClient m_http;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_HARNESS_CALLER_H_
