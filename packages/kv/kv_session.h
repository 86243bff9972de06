// The only client of the platform's key-value service.

#ifndef BRONZECROSS_KV_KV_SESSION_H_
#define BRONZECROSS_KV_KV_SESSION_H_

#include <string_view>

#include "aio/wait.h"
#include "base/error.h"
#include "http1/connection_pool.h"
#include "kv/kv_types.h"
#include "kv/store_outage.h"
#include "kv/store_path.h"

namespace bronzecross {

// Sends calls to the service through another VM.
class StoreRelay {
 public:
  virtual ~StoreRelay() = default;
  // Whether another VM is known to reach the service.
  virtual bool CanRelay() const = 0;
  // Fails with kStoreUnavailable if the call can't be relayed.
  virtual Task<Result<KvReply>> Relay(KvCall call, Millis deadline) = 0;
};

// All calls fail with kStoreUnavailable if the service can't be reached or
// rejects them. `m_run` of the error then tells whether the call may have taken
// effect, or may still do so later.
class KvSession {
 public:
  // `history`: how long the service keeps its history of changes.
  KvSession(const NetAddress& address, Millis history);

  // `relay` must outlive this object. Without a relay only the direct path is
  // used.
  void SetRelay(StoreRelay* relay) { m_relay = relay; }

  Task<Result<KvItem>> Get(std::string key);
  // Returns all items with the prefix, and the revision from which a watch
  // continues.
  Task<Result<KvPage>> Range(std::string prefix,
                             KvReadMode mode = KvReadMode::kLatest);
  // Returns as soon as there is an event after the revision `after`, or without
  // events once `wait` has passed.
  Task<Result<KvEvents>> Watch(std::string prefix, int64_t after, Millis wait);
  // Returns the events after the revision `after` without waiting for any.
  // Fails with kHistoryGone if the service no longer knows all of them.
  Task<Result<KvEvents>> ReadEvents(std::string prefix, int64_t after);
  // How long a watch should wait; see MaxWatchWait().
  Millis WatchWait() const { return m_watch_wait; }
  Task<Result<KvOutcome>> Transact(KvTransaction transaction);
  Task<Result<KvGrantedLease>> GrantLease(Millis ttl);
  // Renews the lease. Serves as the probe of the direct path: it tries that
  // path first even while it fails, and so detects when it works again.
  Task<Status> KeepLease(int64_t lease);
  Task<> EndLease(int64_t lease);

  // Sends a call of another VM over the direct path.
  Task<Result<KvReply>> CallForPeer(KvCall call, Millis deadline);

  // Whether this VM reaches the service without a relay.
  bool ReachesDirectly() const { return !IsFailing(m_direct); }
  // Notified when ReachesDirectly() changes.
  Condition& DirectPathChanged() { return m_direct_changed; }
  // Whether no path is known to work.
  bool IsUnreachable() const;
  // Waits until a path works again, or until the time `until`.
  Task<> WaitUntilReachable(Millis until);
  // Pauses after a failed call: for a short random time, so that VMs don't
  // retry in step, and then until the service is reachable again, up to a
  // limit and at most until `until`.
  Task<> PauseAfterFailure(Millis until = kNever);
  // When the removal of an entry that became known at `now` counts.
  Millis RemovalTimeOf(Millis now) const { return RemovalTime(m_outage, now); }

 private:
  enum class CallKind { kShort, kWatch, kProbe };

  Task<Result<KvReply>> Call(KvCall call, Millis timeout, CallKind kind);
  Task<Result<KvReply>> CallAnyPath(KvCall call, Millis timeout, CallKind kind);
  Task<Result<KvReply>> CallDirect(KvCall call, Millis deadline);
  void RecordDirectFailure(Millis now, bool timed_out);
  void RecordOutcome(const Result<KvReply>& reply);

  ConnectionPool m_pool;
  const Millis m_watch_wait;
  StoreRelay* m_relay = nullptr;
  StorePathState m_direct;
  Condition m_direct_changed;
  // Counts calls that failed on every path.
  StoreOutage m_outage;
  Condition m_recovered;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_KV_KV_SESSION_H_
