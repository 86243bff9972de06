// A thread pool that starts threads on demand, up to a limit.

#ifndef BRONZECROSS_BATCH_BOUNDED_THREAD_POOL_H_
#define BRONZECROSS_BATCH_BOUNDED_THREAD_POOL_H_

#include <deque>
#include <functional>
#include <thread>
#include <vector>

#include <absl/synchronization/mutex.h>

namespace bronzecross {

// Thread-safe.
class BoundedThreadPool {
 public:
  explicit BoundedThreadPool(size_t max_threads);
  // Runs the queued work, then joins the threads.
  ~BoundedThreadPool();

  void Submit(std::function<void()> work);

 private:
  void Run();

  const size_t m_max_threads;
  absl::Mutex m_mutex;
  std::deque<std::function<void()>> m_queue ABSL_GUARDED_BY(m_mutex);
  size_t m_idle ABSL_GUARDED_BY(m_mutex) = 0;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::vector<std::thread> m_threads ABSL_GUARDED_BY(m_mutex);
};

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_BOUNDED_THREAD_POOL_H_
