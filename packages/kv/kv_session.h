// The one client of the platform's key-value service.

#ifndef BRONZECROSS_KV_KV_SESSION_H_
#define BRONZECROSS_KV_KV_SESSION_H_

#include <string_view>

#include "base/error.h"
#include "http1/connection_pool.h"
#include "kv/kv_types.h"
#include "kv/store_path.h"

namespace bronzecross {

// Carries a call to the service through another VM. Fails with
// kStoreUnavailable.
class StoreRelay {
 public:
  virtual ~StoreRelay() = default;
  // Whether another VM is known to reach the service.
  virtual bool CanRelay() const = 0;
  virtual Task<Result<KvReply>> Relay(KvCall call, Millis deadline) = 0;
};

// All calls fail with kStoreUnavailable if the service can't be reached or
// refuses them; `m_run` then tells whether the call may take effect, also
// later.
class KvSession {
 public:
  // `history`: for how long the service keeps its history.
  KvSession(const NetAddress& address, Millis history);

  // `relay` must outlive this object. Without one only the direct path is used.
  void SetRelay(StoreRelay* relay) { m_relay = relay; }

  Task<Result<KvItem>> Get(std::string key);
  // All items with the prefix, and the revision from which a watch continues.
  Task<Result<KvPage>> Range(std::string prefix);
  // Returns as soon as there is an event, or with none after `wait`.
  Task<Result<KvEvents>> Watch(std::string prefix, int64_t after, Millis wait);
  // How long a watch should wait (LongestWatch()).
  Millis WatchWait() const { return m_watch_wait; }
  Task<Result<KvOutcome>> Transact(KvTransaction transaction);
  Task<Result<KvLease>> GrantLease(Millis ttl);
  // Tries the direct path first even while it fails, which finds out whether it
  // works again.
  Task<Status> KeepLease(int64_t lease);
  Task<> EndLease(int64_t lease);

  // One exchange on the direct path, for another VM.
  Task<Result<KvReply>> CallForPeer(KvCall call, Millis deadline);

  // Whether this VM reaches the service without help.
  bool ReachesDirectly() const { return !IsFailing(m_direct); }
  // Notified when ReachesDirectly() changes.
  Condition& DirectPathChanged() { return m_direct_changed; }
  // Whether no path is known to work.
  bool IsUnreachable() const;
  // Waits until a path works again, at most until `until`.
  Task<> WaitUntilReachable(Millis until);
  // Pauses after a failed call: until the service is reachable again, or for a
  // short time that differs between VMs.
  Task<> PauseAfterFailure();
  // Whether the service is away, or came back within `span` before `now`, after
  // an absence in which entries that others renew may have lapsed.
  bool MayHaveLapsed(Millis now, Millis span) const;

 private:
  enum class CallKind { kShort, kWatch, kProbe };

  Task<Result<KvReply>> Call(KvCall call, Millis timeout, CallKind kind);
  Task<Result<KvReply>> CallAnyPath(KvCall call, Millis timeout, CallKind kind);
  Task<Result<KvReply>> CallDirect(KvCall call, Millis deadline);
  void NoteDirectFailure(Millis now, bool timed_out);
  void NoteOutcome(const Result<KvReply>& reply);

  ConnectionPool m_pool;
  const Millis m_watch_wait;
  StoreRelay* m_relay = nullptr;
  StorePathState m_direct;
  Condition m_direct_changed;
  // Since when calls have failed on every path; zero: the last one succeeded.
  Millis m_failing_since;
  Condition m_recovered;
  // The last absence that was long enough for entries to lapse: its end.
  Millis m_long_absence_end;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_KV_KV_SESSION_H_
