#include "http/http_message.h"

#include <absl/strings/match.h>

namespace bronzecross {

std::string_view FindHeader(std::span<const HttpHeader> headers,
                            std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (absl::EqualsIgnoreCase(header.m_name,
                               absl::string_view(name.data(), name.size()))) {
      return header.m_value;
    }
  }
  return {};
}

}  // namespace bronzecross
