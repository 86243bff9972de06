#include "online/stream_check.h"

#include <doctest/doctest.h>

namespace bronzecross {

// Guards against a cut stream that counts as whole, and the reverse, however
// the bytes are split.
TEST_CASE("a stream is whole only with its closing event") {
  const std::string_view whole = "data: {\"a\":1}\n\ndata: [DONE]\n\n";
  for (size_t split = 0; split <= whole.size(); ++split) {
    StreamCheck check;
    FollowStream(check, whole.substr(0, split));
    FollowStream(check, whole.substr(split));
    CHECK(check.m_done);
  }
  StreamCheck cut;
  FollowStream(cut, "data: {\"text\":\"data: [DONE]\"}\n\ndata: [DONE");
  CHECK_FALSE(cut.m_done);
}

}  // namespace bronzecross
