#include "base/base64.h"

#include <doctest/doctest.h>

namespace bronzecross {

TEST_CASE("base64 round trip preserves bytes, and invalid text is rejected") {
  const std::string bytes("\0\x01\xff chunk", 9);
  CHECK(Base64Decode(Base64Encode(bytes)) == bytes);
  CHECK_FALSE(Base64Decode("a$b=").has_value());
}

}  // namespace bronzecross
