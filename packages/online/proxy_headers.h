// The headers that go through bronzecross, in both directions.

#ifndef BRONZECROSS_ONLINE_PROXY_HEADERS_H_
#define BRONZECROSS_ONLINE_PROXY_HEADERS_H_

#include <span>
#include <vector>

#include "http/http_message.h"

namespace bronzecross {

// Time that the caller allows, in ms; also sent to upstreams with the time that
// remains.
inline constexpr std::string_view kTimeoutHeader = "X-Request-Timeout-Ms";

// Returns the headers to forward: all but the hop-by-hop headers, the caller's
// key and the timeout.
std::vector<HttpHeader> EndToEndHeaders(std::span<const HttpHeader> headers);

// Returns the timeout that the caller set, at most `max_timeout`, which is also
// the default. Fails with kInvalidArgument if the header is not a positive
// number.
Result<Millis> RequestTimeout(const HttpRequest& request, Millis max_timeout);

// Returns the time of the Retry-After header. Returns zero if the header is
// absent, not a number of whole seconds (such as a date) or more than an hour.
Millis ParseRetryAfter(std::span<const HttpHeader> headers);

}  // namespace bronzecross

#endif  // BRONZECROSS_ONLINE_PROXY_HEADERS_H_
