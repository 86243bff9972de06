// Keeps a copy of all keys with one prefix up to date: a snapshot, then a watch
// of the service, or of another VM that watches it.

#ifndef BRONZECROSS_KV_PREFIX_FOLLOWER_H_
#define BRONZECROSS_KV_PREFIX_FOLLOWER_H_

#include <functional>
#include <span>
#include <string>

#include "kv/change_log.h"
#include "kv/kv_session.h"

namespace bronzecross {

// The pause after events in a small fleet.
inline constexpr Millis kShortestGatherTime{100};

struct PrefixHandlers {
  // All items. Those known before and not listed are gone.
  std::function<void(std::span<const KvItem>)> m_on_snapshot;
  std::function<void(const KvEvent&)> m_on_event;
};

// Other VMs that watch the service for this one.
class ChangeSource {
 public:
  virtual ~ChangeSource() = default;
  // Whether this VM is to ask another one instead of the service.
  virtual bool HasWatcher() const = 0;
  // Returns as soon as there is a change after the revision `after`, or with
  // none after `wait`. Fails with kPeerUnavailable if the other VM is gone or
  // doesn't watch the service itself; it isn't asked again for a while.
  virtual Task<Result<KvChanges>> WaitForChanges(std::string prefix,
                                                 int64_t after,
                                                 Millis wait) = 0;
};

// A watch may stay open and tell nothing. VMs compare how far they are, so that
// one that hears of a later change elsewhere reads all again.
class PrefixFollower {
 public:
  // `session` must outlive this object, and this object the process's tasks.
  PrefixFollower(KvSession& session,
                 std::string prefix,
                 PrefixHandlers handlers);

  // `source` must outlive this object. Without one the service is watched.
  void SetSource(ChangeSource* source) { m_source = source; }

  // Runs until the process ends.
  Task<> Run();

  // Pause after events, so that changes which come close together cost one
  // call.
  void SetGatherTime(Millis time) { m_gather_time = time; }

  const std::string& Prefix() const { return m_prefix; }
  // Revision of the last change seen, for other VMs.
  int64_t LastChange() const { return m_last_change; }
  // Another VM has seen a change at `revision`. Reads all again if this VM
  // hasn't heard of it for a while.
  void OnPeerChange(int64_t revision, Millis now);

  // Waits for changes on behalf of another VM. Fails with kPeerUnavailable
  // where this VM doesn't watch the service itself.
  Task<Result<KvChanges>> Share(int64_t after, Millis wait);
  // Turns the other VMs away: the process stops.
  void StopSharing();

 private:
  Task<bool> ReadAll();
  Task<> Follow();
  // One watch each. FollowService returns false if all must be read again.
  Task<bool> FollowService();
  Task<> FollowSource();
  Task<> ReadAgain();
  void OnSnapshot(std::span<const KvItem> items, int64_t known_up_to);
  void OnEvents(std::span<const KvEvent> events, int64_t known_up_to);
  bool CanShare() const;

  KvSession& m_session;
  std::string m_prefix;
  PrefixHandlers m_handlers;
  ChangeSource* m_source = nullptr;
  int64_t m_last_change = 0;
  // Holds every change up to its KnownUpTo(), as does what the handlers were
  // told.
  ChangeLog m_log;
  Condition m_changed;
  bool m_is_loaded = false;
  // Whether the service is watched, as against another VM.
  bool m_watches_service = false;
  bool m_is_sharing_stopped = false;
  // A change that another VM told of, and when. It is outdated as soon as it is
  // known here.
  int64_t m_behind = 0;
  Millis m_behind_since;
  bool m_reading_again = false;
  Millis m_gather_time = kShortestGatherTime;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_KV_PREFIX_FOLLOWER_H_
