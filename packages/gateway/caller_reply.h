// What the system itself answers to callers.

#ifndef BRONZECROSS_GATEWAY_CALLER_REPLY_H_
#define BRONZECROSS_GATEWAY_CALLER_REPLY_H_

#include <string>
#include <string_view>

#include "base/error.h"

namespace bronzecross {

enum class ResponseBody { kSent, kNone };

// A whole response with a body.
struct CallerReply {
  int m_status = 200;
  std::string m_content_type = "application/json";
  std::string m_body;
  Millis m_retry_after;  // zero: no advice

  std::string Serialize(bool keep_alive,
                        ResponseBody wanted = ResponseBody::kSent) const;
};

// The response to a request that failed with `error`. A status that promises
// that the request has not run is used only where that is so.
CallerReply ReplyOf(const Error& error);

// The status that `error` is answered with.
int StatusOf(const Error& error);

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_CALLER_REPLY_H_
