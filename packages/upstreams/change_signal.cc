#include "upstreams/change_signal.h"

#include <absl/time/clock.h>
#include <absl/time/time.h>

namespace bronzecross {

void ChangeSignal::Notify() {
  ++m_version;
  if (m_waiters.load() > 0) {
    absl::MutexLock lock(&m_mutex);
    m_changed.SignalAll();
  }
}

void ChangeSignal::Wait(uint64_t seen, Millis timeout) {
  const absl::Time deadline = absl::Now() + absl::Milliseconds(timeout.count());
  absl::MutexLock lock(&m_mutex);
  ++m_waiters;
  while (m_version.load() == seen &&
         !m_changed.WaitWithDeadline(&m_mutex, deadline)) {
  }
  --m_waiters;
}

}  // namespace bronzecross
