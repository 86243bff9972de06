// Text functions over std::string_view. Debian's Abseil has a string view type
// of its own, to which the standard one doesn't convert.

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

// The texts and numbers of `args`, one after the other.
template <typename... Args>
std::string Concat(const Args&... args) {
  return absl::StrCat(internal::ToAbsl(args)...);
}

template <typename... Args>
void AppendTo(std::string& out, const Args&... args) {
  absl::StrAppend(&out, internal::ToAbsl(args)...);
}

// ASCII only, as in protocol elements.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);
bool StartsWithIgnoreCase(std::string_view text, std::string_view prefix);
std::string ToLower(std::string_view text);
std::string_view TrimWhitespace(std::string_view text);

// The parts of `text` between separators; one part if there is none.
std::vector<std::string_view> Split(std::string_view text, char separator);

// Removes `prefix` from the front of `text`. Returns whether it was there.
bool ConsumePrefix(std::string_view& text, std::string_view prefix);

// `text` without `prefix`, if it begins with it.
std::string_view StripPrefix(std::string_view text, std::string_view prefix);

}  // namespace bronzecross

#endif  // BRONZECROSS_BASE_TEXT_H_
