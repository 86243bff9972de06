#include "base/status_line.h"

namespace bronzecross {
namespace {

constexpr std::string_view kVersions[] = {"HTTP/1.1 ", "HTTP/1.0 "};
constexpr size_t kStatusDigits = 3;

constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;
constexpr int kSwitchingProtocols = 101;

}  // namespace

std::optional<int> ParseStatus(std::string_view start) {
  if (start.size() < kStatusLineBytes ||
      (!start.starts_with(kVersions[0]) && !start.starts_with(kVersions[1]))) {
    return std::nullopt;
  }
  int status = 0;
  for (const char c : start.substr(kVersions[0].size(), kStatusDigits)) {
    if (c < '0' || c > '9') {
      return std::nullopt;
    }
    status = 10 * status + (c - '0');
  }
  const char next = start[kStatusLineBytes - 1];
  if ((next != ' ' && next != '\r' && next != '\n') || status < kMinStatus ||
      status > kMaxStatus || status == kSwitchingProtocols) {
    return std::nullopt;
  }
  return status;
}

}  // namespace bronzecross
