#include "base/text.h"

#include <algorithm>

#include <absl/strings/ascii.h>

namespace bronzecross {

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return std::equal(
      a.begin(), a.end(), b.begin(), b.end(), [](char left, char right) {
        return absl::ascii_tolower(left) == absl::ascii_tolower(right);
      });
}

bool StartsWithIgnoreCase(std::string_view text, std::string_view prefix) {
  return EqualsIgnoreCase(text.substr(0, prefix.size()), prefix);
}

std::string ToLower(std::string_view text) {
  std::string lower(text);
  for (char& c : lower) {
    c = absl::ascii_tolower(c);
  }
  return lower;
}

std::string_view TrimWhitespace(std::string_view text) {
  while (!text.empty() && absl::ascii_isspace(text.front())) {
    text.remove_prefix(1);
  }
  while (!text.empty() && absl::ascii_isspace(text.back())) {
    text.remove_suffix(1);
  }
  return text;
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
