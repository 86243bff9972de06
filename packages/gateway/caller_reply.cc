#include "gateway/caller_reply.h"

#include <nlohmann/json.hpp>

#include "base/text.h"
#include "http1/message_head.h"
#include "http1/write_message.h"
#include "platform/request_headers.h"

namespace bronzecross {
namespace {

constexpr int kBadGateway = 502;
constexpr int kRequestTimeout = 408;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

}  // namespace

std::string CallerReply::Serialize(bool keep_alive, ResponseBody wanted) const {
  MessageHead head;
  head.m_status = m_status;
  if (!m_body.empty()) {
    head.Add("Content-Type", m_content_type);
  }
  head.Add("Content-Length", Concat(m_body.size()));
  if (m_retry_after > Millis()) {
    head.m_fields.push_back(platform::EncodeRetryAfter(m_retry_after));
  }
  if (!keep_alive) {
    head.Add("Connection", "close");
  }
  // The fields are of this VM, so they can be sent.
  std::string text = WriteResponseHead(head).value();
  if (wanted == ResponseBody::kSent) {
    text += m_body;
  }
  return text;
}

bool ImpliesNotRun(int status) {
  return status == kRequestTimeout || status == kTooManyRequests ||
         status == kServiceUnavailable;
}

int StatusOf(const Error& error) {
  const int status = GetResultCodeInfo(error.m_code).m_http_status;
  return ImpliesNotRun(status) && error.m_run == RunState::kUnknown
             ? kBadGateway
             : status;
}

CallerReply MakeErrorReply(const Error& error) {
  const ResultCodeInfo& info = GetResultCodeInfo(error.m_code);
  nlohmann::json details;
  details["message"] = error.m_message;
  details["type"] = info.m_type;
  details["code"] = info.m_name;
  details["result_code"] = static_cast<int>(error.m_code);
  details["run"] = RunStateName(error.m_run);
  nlohmann::json body;
  body["error"] = std::move(details);
  CallerReply reply;
  reply.m_status = StatusOf(error);
  reply.m_body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  reply.m_retry_after = error.m_retry_after;
  return reply;
}

}  // namespace bronzecross
