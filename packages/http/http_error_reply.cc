#include "http/http_error_reply.h"

#include <nlohmann/json.hpp>

namespace bronzecross {

std::string ErrorBody(const Error& error) {
  const ResultCodeInfo& info = GetResultCodeInfo(error.m_code);
  const nlohmann::json body = {{"error",
                                {{"message", error.m_message},
                                 {"type", info.m_type},
                                 {"code", info.m_name},
                                 {"result_code", static_cast<int>(info.m_code)},
                                 {"run", RunStateName(error.m_run)}}}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpReply ErrorReply(const Error& error) {
  HttpReply reply = JsonReply(GetResultCodeInfo(error.m_code).m_http_status,
                              ErrorBody(error));
  reply.m_headers.push_back(
      {std::string(kRunHeader), std::string(RunStateName(error.m_run))});
  if (error.m_retry_after > Millis(0)) {
    const int64_t seconds = (error.m_retry_after.count() + 999) / 1000;
    reply.m_headers.push_back({"Retry-After", std::to_string(seconds)});
  }
  return reply;
}

HttpReply JsonReply(int status, std::string body) {
  HttpReply reply;
  reply.m_status = status;
  reply.m_headers.push_back({"Content-Type", "application/json"});
  reply.m_body = std::move(body);
  return reply;
}

}  // namespace bronzecross
