#include "ledger/ledger_record.h"

#include <doctest/doctest.h>

namespace bronzecross {

TEST_CASE("records are encoded and decoded without change") {
  std::string bytes;
  AppendRecord(bytes, {7, 2, "first"});
  AppendRecord(bytes, {8, 2, ""});
  std::string_view rest = bytes;
  CHECK(ConsumeRecord(rest)->m_payload == "first");
  CHECK(ConsumeRecord(rest)->m_sequence == 8);
  CHECK(rest.empty());
}

// Guards against returning torn or corrupt records as valid data.
TEST_CASE("every truncation and every flipped bit is detected") {
  std::string bytes;
  AppendRecord(bytes, {7, 2, "payload"});
  for (size_t length = 0; length < bytes.size(); ++length) {
    std::string_view truncated = std::string_view(bytes).substr(0, length);
    CHECK_FALSE(ConsumeRecord(truncated).has_value());
  }
  for (size_t bit = 0; bit < bytes.size() * 8; ++bit) {
    std::string damaged = bytes;
    damaged[bit / 8] = static_cast<char>(damaged[bit / 8] ^ (1 << (bit % 8)));
    std::string_view view = damaged;
    CHECK_FALSE(ConsumeRecord(view).has_value());
  }
}

}  // namespace bronzecross
