#include "online/passed_headers.h"

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

std::vector<HttpHeader> PassedHeaders(std::span<const HttpHeader> headers) {
  std::vector<HttpHeader> passed;
  for (const HttpHeader& header : headers) {
    if (!IsHopHeader(header.m_name)) {
      passed.push_back(header);
    }
  }
  return passed;
}

Result<Millis> AllowedTime(const HttpRequest& request, Millis highest) {
  const std::string text(FindHeader(request.m_headers, kTimeoutHeader));
  if (text.empty()) {
    return highest;
  }
  int64_t allowed = 0;
  if (!absl::SimpleAtoi(text, &allowed) || allowed <= 0) {
    return Fail(ResultCode::kInvalidArgument,
                absl::StrCat(std::string(kTimeoutHeader),
                             " must be a positive number of milliseconds"));
  }
  return std::min(Millis(allowed), highest);
}

Millis RetryAfter(std::span<const HttpHeader> headers) {
  const std::string text(FindHeader(headers, "Retry-After"));
  int64_t seconds = 0;
  if (!absl::SimpleAtoi(text, &seconds) || seconds < 0 ||
      seconds > kMaxRetryAfterSeconds) {
    return Millis(0);
  }
  return Millis(seconds * 1000);
}

}  // namespace bronzecross
