// Keeps a copy of all keys with one prefix up to date: a snapshot, then a
// watch.

#ifndef BRONZECROSS_KV_PREFIX_FOLLOWER_H_
#define BRONZECROSS_KV_PREFIX_FOLLOWER_H_

#include <functional>
#include <span>
#include <string>

#include "kv/kv_session.h"

namespace bronzecross {

struct PrefixHandlers {
  // All items. Those known before and not listed are gone.
  std::function<void(std::span<const KvItem>)> m_on_snapshot;
  std::function<void(const KvEvent&)> m_on_event;
};

// Runs until the process ends. `session` must outlive it.
Task<> FollowPrefix(KvSession& session,
                    std::string prefix,
                    PrefixHandlers handlers);

}  // namespace bronzecross

#endif  // BRONZECROSS_KV_PREFIX_FOLLOWER_H_
