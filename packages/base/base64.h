// Standard base64 with padding, as used by the JSON gateway of the store.

#ifndef BRONZECROSS_BASE_BASE64_H_
#define BRONZECROSS_BASE_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace bronzecross {

std::string Base64Encode(std::string_view bytes);

// Returns std::nullopt if `text` is not valid base64.
std::optional<std::string> Base64Decode(std::string_view text);

}  // namespace bronzecross

#endif  // BRONZECROSS_BASE_BASE64_H_
