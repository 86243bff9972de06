#include "harness/caller.h"

#include <chrono>

#include "http/http_error_reply.h"
#include "standins/engine_standin.h"

namespace bronzecross {
namespace {

using nlohmann::json;

double NowMs() {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::string ChatBody(const ChatRequest& request) {
  return json{{"model", request.m_model},
              {"max_tokens", request.m_tokens},
              {"stream", request.m_stream},
              {"messages", {{{"role", "user"}, {"content", request.m_prompt}}}}}
      .dump();
}

// Takes the text of the whole events in `pending` off its front. Returns
// whether the closing event was among them.
bool TakeEvents(std::string& pending, std::string& text) {
  bool done = false;
  for (size_t end = pending.find("\n\n"); end != std::string::npos;
       end = pending.find("\n\n")) {
    const std::string event = pending.substr(0, end);
    pending.erase(0, end + 2);
    if (event == "data: [DONE]") {
      done = true;
    } else if (event.starts_with("data: ")) {
      const json chunk = json::parse(event.substr(6), nullptr, false);
      if (chunk.is_object() && chunk.contains("choices")) {
        text += chunk["choices"][0]["delta"].value("content", "");
      }
    }
  }
  return done;
}

}  // namespace

ChatOutcome TestCaller::Chat(const ChatRequest& request) {
  ChatOutcome outcome;
  const std::string body = ChatBody(request);
  HttpCall call;
  call.m_method = "POST";
  call.m_url = request.m_url + "/v1/chat/completions";
  call.m_headers = {{"Content-Type", "application/json"},
                    {"Authorization", "Bearer " + request.m_key}};
  call.m_body = body;
  call.m_timeout = request.m_timeout;
  const double start = NowMs();
  const Result<std::unique_ptr<HttpStream>> stream = m_http.Open(call);
  if (!stream) {
    outcome.m_error_code = GetResultCodeInfo(stream.error().m_code).m_name;
    outcome.m_run = RunStateName(stream.error().m_run);
    return outcome;
  }
  outcome.m_run = FindHeader((*stream)->Headers(), kRunHeader);
  std::string pending;
  std::string text;
  bool done = false;
  while (true) {
    const Result<std::string> piece = (*stream)->ReadSome();
    if (!piece) {
      outcome.m_error_code = "cut";
      return outcome;
    }
    if (piece->empty()) {
      break;
    }
    pending += *piece;
    if (request.m_stream && (*stream)->HttpStatus() == 200) {
      done = TakeEvents(pending, text) || done;
      if (outcome.m_first_token_ms == 0 && !text.empty()) {
        outcome.m_first_token_ms = NowMs() - start;
      }
    }
  }
  outcome.m_latency_ms = NowMs() - start;
  outcome.m_status = (*stream)->HttpStatus();
  if (outcome.m_status != 200) {
    const json error = json::parse(pending, nullptr, false);
    if (error.is_object() && error.contains("error")) {
      outcome.m_error_code = error["error"].value("code", "");
    }
    return outcome;
  }
  if (!request.m_stream) {
    const json answer = json::parse(pending, nullptr, false);
    if (answer.is_object()) {
      text = answer["choices"][0]["message"].value("content", "");
    }
    done = true;
  }
  outcome.m_whole = done;
  outcome.m_correct =
      done && text == EngineAnswer(request.m_prompt, request.m_tokens);
  return outcome;
}

Result<HttpAnswer> TestCaller::Call(std::string_view method,
                                    const std::string& url,
                                    std::string_view key,
                                    std::string_view body,
                                    std::vector<HttpHeader> headers,
                                    Millis timeout) {
  HttpCall call;
  call.m_method = method;
  call.m_url = url;
  call.m_headers = std::move(headers);
  if (!key.empty()) {
    call.m_headers.push_back({"Authorization", "Bearer " + std::string(key)});
  }
  call.m_body = body;
  call.m_timeout = timeout;
  return m_http.Call(call);
}

json TestCaller::CallJson(std::string_view method,
                          const std::string& url,
                          std::string_view key,
                          std::string_view body) {
  const Result<HttpAnswer> answer = Call(method, url, key, body);
  if (!answer) {
    return nullptr;
  }
  json parsed = json::parse(answer->m_body, nullptr, false);
  return parsed.is_discarded() ? json(nullptr) : parsed;
}

}  // namespace bronzecross
