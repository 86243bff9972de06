// A bounded pool whose threads are made as work needs them.

#ifndef BRONZECROSS_BATCH_ITEM_THREADS_H_
#define BRONZECROSS_BATCH_ITEM_THREADS_H_

#include <deque>
#include <functional>
#include <thread>
#include <vector>

#include <absl/synchronization/mutex.h>

namespace bronzecross {

// Thread-safe.
class ItemThreads {
 public:
  explicit ItemThreads(size_t max_threads);
  // Runs what is queued, then ends the threads.
  ~ItemThreads();

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

#endif  // BRONZECROSS_BATCH_ITEM_THREADS_H_
