// A copy of all keys with one prefix and their latest changes, from which a VM
// that watches the service tells VMs that don't.

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

// What has changed since a revision.
struct KvChanges {
  // All items instead of events: those known before and not listed are gone.
  bool m_is_snapshot = false;
  std::vector<KvEvent> m_events;
  // Every change up to this revision is included.
  int64_t m_known_up_to = 0;
};

class ChangeLog {
 public:
  // At most `most_events` changes are kept; whoever is further behind gets all
  // items.
  explicit ChangeLog(size_t most_events) : m_most_events(most_events) {}

  void Reset(std::span<const KvItem> items, int64_t known_up_to);
  void Add(const KvEvent& event);
  // Nothing has changed up to `revision` but what was added.
  void AdvanceTo(int64_t revision);

  int64_t KnownUpTo() const { return m_known_up_to; }
  // Whether a VM that knows everything up to `revision` has something to learn.
  bool HasNewsSince(int64_t revision) const { return m_last_change > revision; }
  KvChanges Since(int64_t revision) const;

 private:
  const size_t m_most_events;
  std::map<std::string, KvItem> m_items;
  // In the order of their revisions. All changes after m_events_from are here.
  std::deque<KvEvent> m_events;
  int64_t m_events_from = 0;
  int64_t m_last_change = 0;
  int64_t m_known_up_to = 0;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_KV_CHANGE_LOG_H_
