// String functions for std::string_view. Abseil as packaged by Debian has its
// own string view type, to which std::string_view does not convert.

#ifndef BRONZECROSS_BASE_TEXT_H_
#define BRONZECROSS_BASE_TEXT_H_

#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include <absl/strings/str_cat.h>

namespace bronzecross {

namespace internal {

template <typename T>
decltype(auto) ToAbsl(const T& value) {
  if constexpr (std::is_convertible_v<const T&, std::string_view>) {
    const std::string_view view = value;
    return absl::string_view(view.data(), view.size());
  } else {
    return (value);
  }
}

}  // namespace internal

// Returns the concatenation of `args`, which are strings or numbers.
template <typename... Args>
std::string Concat(const Args&... args) {
  return absl::StrCat(internal::ToAbsl(args)...);
}

// Appends `args`, which are strings or numbers, to `out`.
template <typename... Args>
void AppendTo(std::string& out, const Args&... args) {
  absl::StrAppend(&out, internal::ToAbsl(args)...);
}

// These handle ASCII only, which suffices for protocol elements.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);
bool StartsWithIgnoreCase(std::string_view text, std::string_view prefix);
std::string ToLower(std::string_view text);
std::string_view TrimWhitespace(std::string_view text);

// Splits `text` at each separator. Returns one part if there is no separator.
std::vector<std::string_view> Split(std::string_view text, char separator);

// Removes `prefix` from the front of `text`. Returns whether it was present.
bool ConsumePrefix(std::string_view& text, std::string_view prefix);

// Returns `text` without `prefix`, or `text` itself if it does not start with
// `prefix`.
std::string_view StripPrefix(std::string_view text, std::string_view prefix);

}  // namespace bronzecross

#endif  // BRONZECROSS_BASE_TEXT_H_
