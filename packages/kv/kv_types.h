// Data types of a key-value service with compare-and-swap, leases and watches.

#ifndef BRONZECROSS_KV_KV_TYPES_H_
#define BRONZECROSS_KV_KV_TYPES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace bronzecross {

struct KvItem {
  std::string m_key;
  std::string m_value;
  int64_t m_revision = 0;  // of its last change
  int64_t m_lease = 0;     // 0: none
};

// Whether a read returns the latest state or one that may be seconds old, which
// is cheaper.
enum class KvReadMode { kLatest, kMayBeStale };

struct KvPage {
  std::vector<KvItem> m_items;
  bool m_has_more = false;
  int64_t m_store_revision = 0;
};

struct KvEvent {
  KvItem m_item;  // without a value if it was removed
  bool m_removed = false;
};

struct KvEvents {
  std::vector<KvEvent> m_events;
  int64_t m_store_revision = 0;  // from which the next watch continues
};

struct KvCondition {
  std::string m_key;
  int64_t m_revision = 0;  // 0: the key must not exist
};

struct KvPut {
  std::string m_key;
  std::string m_value;
  int64_t m_lease = 0;
};

// Applied atomically if all conditions hold.
struct KvTransaction {
  std::vector<KvCondition> m_conditions;
  std::vector<KvPut> m_puts;
  std::vector<std::string> m_removes;
};

struct KvOutcome {
  bool m_applied = false;
  int64_t m_revision = 0;  // of the change, if it was applied
  // Current items of the keys in the conditions, if the transaction was not
  // applied. Keys that don't exist are omitted.
  std::vector<KvItem> m_current;
};

struct KvGrantedLease {
  int64_t m_id = 0;
  Millis m_ttl;
};

// One HTTP exchange with the service.
struct KvCall {
  std::string_view m_name;  // for logs and metrics; refers to a literal
  std::string m_method;
  std::string m_target;
  std::string m_body;
};

struct KvReply {
  int m_status = 0;
  std::string m_body;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_KV_KV_TYPES_H_
