// A copy of all keys with one prefix and their latest changes. A VM that
// watches the key-value service passes these changes on to VMs that don't.

#ifndef BRONZECROSS_KV_CHANGE_LOG_H_
#define BRONZECROSS_KV_CHANGE_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "kv/kv_types.h"

namespace bronzecross {

// The changes since a given revision.
struct KvChanges {
  // Whether m_events lists all items instead of changes. Items that are not
  // listed no longer exist.
  bool m_is_snapshot = false;
  std::vector<KvEvent> m_events;
  // Revision up to which every change is included.
  int64_t m_known_up_to = 0;
};

class ChangeLog {
 public:
  // Keeps at most `max_events` changes. Since() returns a snapshot for a
  // revision that is older than those.
  explicit ChangeLog(size_t max_events) : m_max_events(max_events) {}

  // Replaces the copy by `items` and drops all kept changes.
  void Reset(std::span<const KvItem> items, int64_t known_up_to);
  void Add(const KvEvent& event);
  // Records that every change up to `revision` has been added.
  void AdvanceTo(int64_t revision);

  int64_t KnownUpTo() const { return m_known_up_to; }
  // Whether there is a change after `revision`.
  bool HasChangesSince(int64_t revision) const {
    return m_last_change > revision;
  }
  KvChanges Since(int64_t revision) const;

 private:
  const size_t m_max_events;
  std::map<std::string, KvItem> m_items;
  // In ascending order of revision. Includes every change after m_events_from.
  std::deque<KvEvent> m_events;
  int64_t m_events_from = 0;
  int64_t m_last_change = 0;
  int64_t m_known_up_to = 0;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_KV_CHANGE_LOG_H_
