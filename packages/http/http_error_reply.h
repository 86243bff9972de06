// Error replies in the OpenAI form, which say whether the request ran.

#ifndef BRONZECROSS_HTTP_HTTP_ERROR_REPLY_H_
#define BRONZECROSS_HTTP_HTTP_ERROR_REPLY_H_

#include <string>

#include "http/http_message.h"

namespace bronzecross {

// Header that says whether a refused request ran: "not_run" or "unknown".
inline constexpr std::string_view kRunHeader = "X-Bronzecross-Run";

// {"error":{"message","type","code","result_code","run"}}
std::string ErrorBody(const Error& error);

// The reply for `error`, with Retry-After (whole seconds, rounded up) where the
// error advises one.
HttpReply ErrorReply(const Error& error);

HttpReply JsonReply(int status, std::string body);

}  // namespace bronzecross

#endif  // BRONZECROSS_HTTP_HTTP_ERROR_REPLY_H_
