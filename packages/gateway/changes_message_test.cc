#include <doctest/doctest.h>

#include "gateway/changes_message.h"

namespace bronzecross {
namespace {

TEST_CASE(
    "changes survive an encoding round trip, and invalid bytes are rejected") {
  KvChanges changes;
  changes.m_is_snapshot = true;
  changes.m_known_up_to = 99;
  KvEvent written;
  written.m_item.m_key = "a/1";
  written.m_item.m_value = std::string("\xff\x00 any bytes", 12);
  written.m_item.m_revision = 98;
  written.m_item.m_lease = 7;
  KvEvent removed;
  removed.m_item.m_key = "a/2";
  removed.m_item.m_revision = 99;
  removed.m_removed = true;
  changes.m_events = {written, removed};
  const std::string bytes = EncodeChanges(changes);
  const std::optional<KvChanges> decoded = DecodeChanges(bytes);
  REQUIRE(decoded);
  CHECK(decoded->m_is_snapshot);
  CHECK(decoded->m_known_up_to == 99);
  REQUIRE(decoded->m_events.size() == 2);
  CHECK(decoded->m_events[0].m_item.m_value == written.m_item.m_value);
  CHECK(decoded->m_events[0].m_item.m_lease == 7);
  CHECK(decoded->m_events[1].m_removed);
  CHECK(decoded->m_events[1].m_item.m_revision == 99);
  for (size_t i = 0; i < bytes.size(); ++i) {
    CHECK_FALSE(DecodeChanges(std::string_view(bytes).substr(0, i)));
    std::string corrupted = bytes;
    corrupted[i] = static_cast<char>(corrupted[i] ^ 0x55);
    DecodeChanges(corrupted);
  }
  CHECK_FALSE(DecodeChanges("hello"));
}

}  // namespace
}  // namespace bronzecross
