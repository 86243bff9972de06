#include <doctest/doctest.h>

#include "base/text.h"
#include "kv/change_log.h"

namespace bronzecross {
namespace {

KvEvent Written(const std::string& key, int64_t revision) {
  KvEvent event;
  event.m_item.m_key = key;
  event.m_item.m_value = Concat("value of ", revision);
  event.m_item.m_revision = revision;
  return event;
}

KvEvent Removed(const std::string& key, int64_t revision) {
  KvEvent event = Written(key, revision);
  event.m_item.m_value.clear();
  event.m_removed = true;
  return event;
}

TEST_CASE("a VM that is behind gets exactly the changes that it lacks") {
  ChangeLog log(10);
  const std::vector<KvItem> items = {Written("a", 3).m_item,
                                     Written("b", 5).m_item};
  log.Reset(items, 6);
  CHECK_FALSE(log.HasChangesSince(6));
  CHECK(log.HasChangesSince(5));
  log.Add(Written("a", 8));
  log.Add(Removed("b", 9));
  log.AdvanceTo(12);
  CHECK(log.HasChangesSince(8));
  CHECK_FALSE(log.HasChangesSince(9));
  const KvChanges changes = log.Since(8);
  CHECK_FALSE(changes.m_is_snapshot);
  REQUIRE(changes.m_events.size() == 1);
  CHECK(changes.m_events[0].m_removed);
  CHECK(changes.m_known_up_to == 12);
  CHECK(log.Since(6).m_events.size() == 2);
}

// Guards against lost changes: a VM that is behind by more than the kept
// changes would miss those that were dropped.
TEST_CASE("a VM that is behind by more than the kept changes gets all items") {
  ChangeLog log(3);
  log.Reset(std::vector<KvItem>{Written("a", 3).m_item}, 4);
  CHECK(log.Since(2).m_is_snapshot);
  for (int64_t revision = 10; revision < 16; ++revision) {
    log.Add(Written(Concat("k", revision), revision));
  }
  log.Add(Removed("k10", 16));
  CHECK_FALSE(log.Since(13).m_is_snapshot);
  CHECK(log.Since(13).m_events.size() == 3);
  const KvChanges all = log.Since(12);
  CHECK(all.m_is_snapshot);
  CHECK(all.m_events.size() == 6);
  CHECK(all.m_known_up_to == 16);
}

// Guards against older state that replaces newer state: a snapshot may be read
// while a watch is open, which then still delivers earlier changes.
TEST_CASE("changes that a snapshot already includes are ignored") {
  ChangeLog log(10);
  log.Reset(std::vector<KvItem>{Written("a", 20).m_item}, 20);
  log.Add(Written("a", 18));
  log.Add(Removed("a", 19));
  const KvChanges all = log.Since(0);
  REQUIRE(all.m_events.size() == 1);
  CHECK(all.m_events[0].m_item.m_revision == 20);
  CHECK_FALSE(log.HasChangesSince(20));
}

}  // namespace
}  // namespace bronzecross
