// Ends the calls of callers whose key was withdrawn after they were admitted,
// also those that wait for a silent upstream.

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

  // What `error` of a call that watched m_cancel means: the guard's reason, if
  // the guard cancelled it.
  Error Explain(Error error) const;

  const Caller m_caller;
  CancelToken m_cancel;
  // kOk until the guard cancels; set before m_cancel.
  std::atomic<ResultCode> m_reason = ResultCode::kOk;
};

// Thread-safe.
class KeyGuard {
 public:
  // `is_fresh` tells whether the manifest is confirmed: the calls of a VM that
  // cannot learn of a withdrawal end as well.
  KeyGuard(ConfigHolder& config, std::function<bool()> is_fresh);
  ~KeyGuard();
  KeyGuard(const KeyGuard&) = delete;
  KeyGuard& operator=(const KeyGuard&) = delete;

  void Start();
  void Stop();

  // Guards the call until the last reference is gone.
  std::shared_ptr<GuardedCall> Watch(Caller caller);

 private:
  void Run();
  // Ends the calls whose key is not in force; all calls unless `confirmed`.
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
