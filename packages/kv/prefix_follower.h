// Keeps a copy of all keys with one prefix up to date. Reads a snapshot, and
// then follows the changes by a watch of the key-value service, or through
// another VM that watches it.

#ifndef BRONZECROSS_KV_PREFIX_FOLLOWER_H_
#define BRONZECROSS_KV_PREFIX_FOLLOWER_H_

#include <functional>
#include <span>
#include <string>

#include "kv/change_log.h"
#include "kv/kv_session.h"

namespace bronzecross {

// Pause after events in a small fleet.
inline constexpr Millis kMinCoalescingDelay{100};

struct PrefixHandlers {
  // Receives all items. Items that are not listed no longer exist.
  std::function<void(std::span<const KvItem>)> m_on_snapshot;
  std::function<void(const KvEvent&)> m_on_event;
};

// How changes reach the VMs of a large fleet (cluster/watchers.h).
enum class WatchLevels {
  kGroups,         // the watchers of each group watch the service
  kFleetAndGroups  // only the fleet watchers do
};

// Delivers changes from other VMs that watch the service.
class ChangeSource {
 public:
  virtual ~ChangeSource() = default;
  // Whether this VM should get its changes from another VM instead of watching
  // the service itself.
  virtual bool HasWatcher(WatchLevels levels) const = 0;
  // Whether this VM passes on changes that it gets from another VM.
  virtual bool IsGroupWatcher() const = 0;
  // Whether this VM checks its watches on behalf of the VMs that learn of
  // changes from it or compare revisions with it.
  virtual bool IsChecker() const = 0;
  // Returns as soon as there is a change after the revision `after`, or without
  // changes once `wait` has passed. Fails with kPeerUnavailable if the other VM
  // is unreachable or isn't a watcher; no request is sent to it for a while
  // after that.
  virtual Task<Result<KvChanges>> WaitForChanges(std::string prefix,
                                                 WatchLevels levels,
                                                 int64_t after,
                                                 Millis wait) = 0;
};

// A watch may stay open without delivering its events. VMs therefore report the
// revision of their last change to each other, and one that doesn't receive a
// later change in time reads all keys again. As the watches of all VMs may be
// affected, checkers also ask the service for changes at short intervals.
class PrefixFollower {
 public:
  // `session` must outlive this object, and this object must outlive the
  // process's tasks.
  PrefixFollower(KvSession& session,
                 std::string prefix,
                 PrefixHandlers handlers);

  // `source` must outlive this object. Without a source this VM always watches
  // the service itself.
  void SetSource(ChangeSource* source, WatchLevels levels) {
    m_source = source;
    m_levels = levels;
  }

  // Runs until the process ends.
  Task<> Run();
  // Asks for changes at short intervals while this VM is a checker. Runs until
  // the process ends.
  Task<> RunChecks();

  // Sets the pause after events. Changes that arrive during the pause are read
  // with one call.
  void SetCoalescingDelay(Millis delay) { m_coalescing_delay = delay; }

  const std::string& Prefix() const { return m_prefix; }
  // Revision of the last change seen; reported to other VMs.
  int64_t LastChange() const { return m_last_change; }
  // Handles the report of another VM that it has seen a change at `revision`.
  // Reads all keys again if this VM still lacks the change after a while.
  void OnPeerChange(int64_t revision, Millis now);

  // Waits for changes on behalf of another VM. Fails with kPeerUnavailable if
  // this VM doesn't watch the service itself, unless it is a watcher of its
  // group and `only_if_watching` is false. Watchers of groups set it, so that
  // two of them never wait for each other.
  Task<Result<KvChanges>> Share(int64_t after,
                                Millis wait,
                                bool only_if_watching);
  // Reads the changes that the watch hasn't told of yet. Returns whether it
  // could.
  Task<bool> ReadChanges();
  // Rejects requests of other VMs from now on, because the process stops.
  void StopSharing();

 private:
  Task<bool> ReadAll();
  Task<> Follow();
  // FollowService() and FollowSource() wait for one batch of changes each.
  // FollowService() returns false if all keys must be read again.
  Task<bool> FollowService();
  Task<> FollowSource();
  Task<> ReadAgain();
  void OnSnapshot(std::span<const KvItem> items, int64_t known_up_to);
  void OnEvents(std::span<const KvEvent> events);
  Task<bool> Check();
  // Returns m_levels, or kFleetAndGroups while the service rejects this VM.
  WatchLevels Levels() const;
  bool CanShare(bool only_if_watching) const;

  KvSession& m_session;
  std::string m_prefix;
  PrefixHandlers m_handlers;
  ChangeSource* m_source = nullptr;
  WatchLevels m_levels = WatchLevels::kGroups;
  int64_t m_last_change = 0;
  // Includes every change up to its KnownUpTo(). The handlers have received the
  // same changes. A watch without events doesn't advance it, since it may have
  // missed some.
  ChangeLog m_log;
  Condition m_changed;
  bool m_is_loaded = false;
  // Whether changes come from the service itself and not from another VM.
  bool m_watches_service = false;
  bool m_is_sharing_stopped = false;
  // Revision of a change that another VM has reported and this VM lacks, and
  // the time of the first such report. Ignored if the revision is at most
  // m_log.KnownUpTo().
  int64_t m_missed_revision = 0;
  Millis m_missed_since;
  bool m_reading_again = false;
  Millis m_coalescing_delay = kMinCoalescingDelay;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_KV_PREFIX_FOLLOWER_H_
