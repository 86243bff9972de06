// The headers that go through bronzecross, in both directions.

#ifndef BRONZECROSS_ONLINE_PASSED_HEADERS_H_
#define BRONZECROSS_ONLINE_PASSED_HEADERS_H_

#include <span>
#include <vector>

#include "http/http_message.h"

namespace bronzecross {

// Time that the caller allows, in ms; also sent to upstreams with the time that
// remains.
inline constexpr std::string_view kTimeoutHeader = "X-Request-Timeout-Ms";

// All headers but those that concern one connection, the caller's key and the
// time allowed.
std::vector<HttpHeader> PassedHeaders(std::span<const HttpHeader> headers);

// The time that the caller allows, at most `highest`, which is also the
// default. Fails with kInvalidArgument if the header is not a positive number.
Result<Millis> AllowedTime(const HttpRequest& request, Millis highest);

// The whole seconds of a Retry-After header, or zero. Dates count as absent.
Millis RetryAfter(std::span<const HttpHeader> headers);

}  // namespace bronzecross

#endif  // BRONZECROSS_ONLINE_PASSED_HEADERS_H_
