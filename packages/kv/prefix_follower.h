// Keeps a copy of all keys with one prefix up to date: a snapshot, then a
// watch.

#ifndef BRONZECROSS_KV_PREFIX_FOLLOWER_H_
#define BRONZECROSS_KV_PREFIX_FOLLOWER_H_

#include <functional>
#include <span>
#include <string>

#include "kv/kv_session.h"

namespace bronzecross {

// The pause after events in a small fleet.
inline constexpr Millis kShortestGatherTime{100};

struct PrefixHandlers {
  // All items. Those known before and not listed are gone.
  std::function<void(std::span<const KvItem>)> m_on_snapshot;
  std::function<void(const KvEvent&)> m_on_event;
};

// A watch may stay open and tell nothing. VMs compare how far they are, so that
// one that hears of a later change elsewhere reads all again.
class PrefixFollower {
 public:
  // `session` must outlive this object, and this object the process's tasks.
  PrefixFollower(KvSession& session,
                 std::string prefix,
                 PrefixHandlers handlers);

  // Runs until the process ends.
  Task<> Run();

  // Pause after events, so that changes which come close together cost one
  // call.
  void SetGatherTime(Millis time) { m_gather_time = time; }

  // Revision of the last change seen, for other VMs.
  int64_t LastChange() const { return m_last_change; }
  // Another VM has seen a change at `revision`. Reads all again if this VM
  // hasn't heard of it for a while.
  void OnPeerChange(int64_t revision, Millis now);

 private:
  Task<bool> ReadAll();
  Task<> Follow();
  Task<> ReadAgain();

  KvSession& m_session;
  std::string m_prefix;
  PrefixHandlers m_handlers;
  int64_t m_last_change = 0;
  // Every change up to this revision is known.
  int64_t m_known_up_to = 0;
  // Since when another VM has been ahead; zero: none is.
  Millis m_behind_since;
  bool m_reading_again = false;
  Millis m_gather_time = kShortestGatherTime;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_KV_PREFIX_FOLLOWER_H_
