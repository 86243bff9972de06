// Watches the changes of keys with a prefix in the store.

#ifndef BRONZECROSS_STORE_KV_WATCH_H_
#define BRONZECROSS_STORE_KV_WATCH_H_

#include <functional>
#include <string_view>

#include "http/cancel_token.h"
#include "store/kv_client.h"

namespace bronzecross {

// One change; `m_value` is empty for a deleted key.
struct KvChange {
  KvEntry m_entry;
  bool m_deleted = false;
};

// Watches keys under `prefix` starting at revision `first_revision` and calls
// `on_change` for each change. Returns when the connection fails, after
// `max_duration` or when `cancel` is set; the caller then lists the prefix and
// watches again.
Error WatchPrefix(KvClient& client,
                  std::string_view prefix,
                  int64_t first_revision,
                  Millis max_duration,
                  const CancelToken& cancel,
                  const std::function<void(const KvChange&)>& on_change);

}  // namespace bronzecross

#endif  // BRONZECROSS_STORE_KV_WATCH_H_
