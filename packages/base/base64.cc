#include "base/base64.h"

#include <absl/strings/escaping.h>

namespace bronzecross {

std::string Base64Encode(std::string_view bytes) {
  return absl::Base64Escape(absl::string_view(bytes.data(), bytes.size()));
}

std::optional<std::string> Base64Decode(std::string_view text) {
  std::string bytes;
  if (!absl::Base64Unescape(absl::string_view(text.data(), text.size()),
                            &bytes)) {
    return std::nullopt;
  }
  return bytes;
}

}  // namespace bronzecross
