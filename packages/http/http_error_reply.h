// Error replies in the format of the OpenAI API, extended by whether the
// request ran.

#ifndef BRONZECROSS_HTTP_HTTP_ERROR_REPLY_H_
#define BRONZECROSS_HTTP_HTTP_ERROR_REPLY_H_

#include <string>

#include "http/http_message.h"

namespace bronzecross {

// Header that states whether a failed request ran: "not_run" or "unknown".
inline constexpr std::string_view kRunHeader = "X-Bronzecross-Run";

// Returns a JSON object
// {"error":{"message","type","code","result_code","run"}}.
std::string ErrorBody(const Error& error);

// Returns the reply for `error`, with a Retry-After header (in seconds, rounded
// up) if the error has a retry delay.
HttpReply ErrorReply(const Error& error);

// Returns a reply with `body`, which is serialized JSON.
HttpReply JsonReply(int status, std::string body);

}  // namespace bronzecross

#endif  // BRONZECROSS_HTTP_HTTP_ERROR_REPLY_H_
