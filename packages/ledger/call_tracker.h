// Counts calls that run on detached threads, so that their owner can wait until
// all of them have returned.

#ifndef BRONZECROSS_LEDGER_CALL_TRACKER_H_
#define BRONZECROSS_LEDGER_CALL_TRACKER_H_

#include <absl/synchronization/mutex.h>

namespace bronzecross {

// Thread-safe.
class CallTracker {
 public:
  void Begin() {
    absl::MutexLock lock(&m_mutex);
    ++m_active;
  }
  void End() {
    absl::MutexLock lock(&m_mutex);
    --m_active;
  }
  void WaitIdle() {
    absl::MutexLock lock(&m_mutex);
    const auto idle = [this]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) {
      return m_active == 0;
    };
    m_mutex.Await(absl::Condition(&idle));
  }

 private:
  absl::Mutex m_mutex;
  int m_active ABSL_GUARDED_BY(m_mutex) = 0;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_LEDGER_CALL_TRACKER_H_
