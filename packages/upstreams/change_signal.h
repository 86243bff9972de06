// Wakes waiting requests when an upstream may have free slots again.

#ifndef BRONZECROSS_UPSTREAMS_CHANGE_SIGNAL_H_
#define BRONZECROSS_UPSTREAMS_CHANGE_SIGNAL_H_

#include <atomic>
#include <cstdint>

#include <absl/synchronization/mutex.h>

#include "base/clock.h"

namespace bronzecross {

// A version counter with blocking waits. Thread-safe.
class ChangeSignal {
 public:
  uint64_t Version() const { return m_version.load(); }

  // Increments the version and wakes all waiters.
  void Notify();

  // Blocks until the version differs from `seen`, at most for `timeout`.
  void Wait(uint64_t seen, Millis timeout);

 private:
  absl::Mutex m_mutex;
  absl::CondVar m_changed;
  std::atomic<uint64_t> m_version = 0;
  // Threads in Wait(). Notify() skips the mutex while there are none.
  std::atomic<int> m_waiters = 0;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_UPSTREAMS_CHANGE_SIGNAL_H_
