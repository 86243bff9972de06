// Cancels admitted calls whose key was withdrawn since, including calls that
// wait for an unresponsive upstream.

#ifndef BRONZECROSS_ONLINE_KEY_GUARD_H_
#define BRONZECROSS_ONLINE_KEY_GUARD_H_

#include <atomic>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "config/config_holder.h"
#include "http/cancel_token.h"
#include "online/authenticator.h"

namespace bronzecross {

// One admitted call.
struct GuardedCall {
  explicit GuardedCall(Caller caller) : m_caller(std::move(caller)) {}

  // Replaces kCancelled by m_reason if the guard cancelled the call; returns
  // other errors unchanged.
  Error MapError(Error error) const;

  const Caller m_caller;
  CancelToken m_cancel;
  // kOk until the guard cancels the call; set before m_cancel.
  std::atomic<ResultCode> m_reason = ResultCode::kOk;
};

// Thread-safe.
class KeyGuard {
 public:
  // `is_fresh` returns whether the manifest is confirmed to be current. If it
  // is not, all calls are cancelled, as a key may have been withdrawn
  // unnoticed.
  KeyGuard(ConfigHolder& config, std::function<bool()> is_fresh);
  ~KeyGuard();
  KeyGuard(const KeyGuard&) = delete;
  KeyGuard& operator=(const KeyGuard&) = delete;

  void Start();
  void Stop();

  // Watches the call until the last reference to it is released.
  std::shared_ptr<GuardedCall> Watch(Caller caller);

 private:
  void Run();
  // Cancels the calls whose key is not valid; all calls unless `confirmed`.
  void CheckAll(bool confirmed);

  ConfigHolder& m_config;
  const std::function<bool()> m_is_fresh;
  absl::Mutex m_mutex;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::vector<std::weak_ptr<GuardedCall>> m_calls ABSL_GUARDED_BY(m_mutex);
  std::thread m_thread;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_ONLINE_KEY_GUARD_H_
