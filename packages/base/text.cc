#include "base/text.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

namespace bronzecross {

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return absl::EqualsIgnoreCase(internal::ToAbsl(a), internal::ToAbsl(b));
}

bool StartsWithIgnoreCase(std::string_view text, std::string_view prefix) {
  return absl::StartsWithIgnoreCase(internal::ToAbsl(text),
                                    internal::ToAbsl(prefix));
}

std::string ToLower(std::string_view text) {
  return absl::AsciiStrToLower(internal::ToAbsl(text));
}

std::string_view TrimWhitespace(std::string_view text) {
  const absl::string_view rest =
      absl::StripAsciiWhitespace(internal::ToAbsl(text));
  return std::string_view(rest.data(), rest.size());
}

std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  for (;;) {
    const size_t at = text.find(separator);
    parts.push_back(text.substr(0, at));
    if (at == std::string_view::npos) {
      return parts;
    }
    text.remove_prefix(at + 1);
  }
}

bool ConsumePrefix(std::string_view& text, std::string_view prefix) {
  if (!text.starts_with(prefix)) {
    return false;
  }
  text.remove_prefix(prefix.size());
  return true;
}

std::string_view StripPrefix(std::string_view text, std::string_view prefix) {
  return text.starts_with(prefix) ? text.substr(prefix.size()) : text;
}

}  // namespace bronzecross
