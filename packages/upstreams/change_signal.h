// Wakes waiting requests when an upstream may have room again.

#ifndef BRONZECROSS_UPSTREAMS_CHANGE_SIGNAL_H_
#define BRONZECROSS_UPSTREAMS_CHANGE_SIGNAL_H_

#include <atomic>
#include <cstdint>

#include <absl/synchronization/mutex.h>

#include "base/clock.h"

namespace bronzecross {

// Thread-safe.
class ChangeSignal {
 public:
  uint64_t Version() const { return m_version.load(); }

  void Notify();

  // Returns once the version differs from `seen`, or after `timeout`.
  void Wait(uint64_t seen, Millis timeout);

 private:
  absl::Mutex m_mutex;
  absl::CondVar m_changed;
  std::atomic<uint64_t> m_version = 0;
  // Lets Notify() skip the mutex while nobody waits.
  std::atomic<int> m_waiters = 0;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_UPSTREAMS_CHANGE_SIGNAL_H_
