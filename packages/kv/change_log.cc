#include "kv/change_log.h"

#include <algorithm>

namespace bronzecross {

void ChangeLog::Reset(std::span<const KvItem> items, int64_t known_up_to) {
  m_items.clear();
  for (const KvItem& item : items) {
    m_items[item.m_key] = item;
  }
  m_events.clear();
  m_events_from = known_up_to;
  m_last_change = known_up_to;
  m_known_up_to = known_up_to;
}

void ChangeLog::Add(const KvEvent& event) {
  const int64_t revision = event.m_item.m_revision;
  // The snapshot already includes this event.
  if (revision <= m_events_from) {
    return;
  }
  if (event.m_removed) {
    m_items.erase(event.m_item.m_key);
  } else {
    m_items[event.m_item.m_key] = event.m_item;
  }
  m_events.push_back(event);
  if (m_events.size() > m_max_events) {
    m_events_from = m_events.front().m_item.m_revision;
    m_events.pop_front();
  }
  m_last_change = std::max(m_last_change, revision);
  AdvanceTo(revision);
}

void ChangeLog::AdvanceTo(int64_t revision) {
  m_known_up_to = std::max(m_known_up_to, revision);
}

KvChanges ChangeLog::Since(int64_t revision) const {
  KvChanges changes;
  changes.m_known_up_to = m_known_up_to;
  changes.m_is_snapshot = revision < m_events_from;
  if (changes.m_is_snapshot) {
    for (auto entry = m_items.begin(); entry != m_items.end(); ++entry) {
      changes.m_events.push_back(KvEvent{entry->second, false});
    }
    return changes;
  }
  for (const KvEvent& event : m_events) {
    if (event.m_item.m_revision > revision) {
      changes.m_events.push_back(event);
    }
  }
  return changes;
}

}  // namespace bronzecross
