// Fixed-size thread pool with a bounded queue.

#ifndef BRONZECROSS_PEERS_WORKER_POOL_H_
#define BRONZECROSS_PEERS_WORKER_POOL_H_

#include <deque>
#include <functional>
#include <thread>
#include <vector>

#include <absl/synchronization/mutex.h>

namespace bronzecross {

class WorkerPool {
 public:
  WorkerPool(int threads, size_t max_queue);
  // Runs the queued work, then joins the threads.
  ~WorkerPool();

  // Queues `work`. Returns false if the queue is full; `work` is not run then.
  bool Submit(std::function<void()> work);

 private:
  void Run();

  const size_t m_max_queue;
  absl::Mutex m_mutex;
  std::deque<std::function<void()>> m_queue ABSL_GUARDED_BY(m_mutex);
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::vector<std::thread> m_threads;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_PEERS_WORKER_POOL_H_
