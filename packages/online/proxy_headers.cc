#include "online/proxy_headers.h"

#include <algorithm>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace bronzecross {
namespace {

constexpr int64_t kMaxRetryAfterSeconds = 3600;

bool IsHopHeader(std::string_view name) {
  constexpr std::string_view kHop[] = {"authorization",
                                       "connection",
                                       "content-length",
                                       "expect",
                                       "host",
                                       "keep-alive",
                                       "te",
                                       "trailer",
                                       "transfer-encoding",
                                       "upgrade",
                                       "proxy-authorization",
                                       "x-request-timeout-ms"};
  return std::any_of(std::begin(kHop), std::end(kHop),
                     [name](std::string_view hop) {
                       return absl::EqualsIgnoreCase(
                           absl::string_view(hop.data(), hop.size()),
                           absl::string_view(name.data(), name.size()));
                     });
}

}  // namespace

std::vector<HttpHeader> EndToEndHeaders(std::span<const HttpHeader> headers) {
  std::vector<HttpHeader> forwarded;
  for (const HttpHeader& header : headers) {
    if (!IsHopHeader(header.m_name)) {
      forwarded.push_back(header);
    }
  }
  return forwarded;
}

Result<Millis> RequestTimeout(const HttpRequest& request, Millis max_timeout) {
  const std::string text(FindHeader(request.m_headers, kTimeoutHeader));
  if (text.empty()) {
    return max_timeout;
  }
  int64_t timeout_ms = 0;
  if (!absl::SimpleAtoi(text, &timeout_ms) || timeout_ms <= 0) {
    return Fail(ResultCode::kInvalidArgument,
                absl::StrCat(std::string(kTimeoutHeader),
                             " must be a positive number of milliseconds"));
  }
  return std::min(Millis(timeout_ms), max_timeout);
}

Millis ParseRetryAfter(std::span<const HttpHeader> headers) {
  const std::string text(FindHeader(headers, "Retry-After"));
  int64_t seconds = 0;
  if (!absl::SimpleAtoi(text, &seconds) || seconds < 0 ||
      seconds > kMaxRetryAfterSeconds) {
    return Millis(0);
  }
  return Millis(seconds * 1000);
}

}  // namespace bronzecross
