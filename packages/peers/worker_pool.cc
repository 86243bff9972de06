#include "peers/worker_pool.h"

namespace bronzecross {

WorkerPool::WorkerPool(int threads, size_t max_queue) : m_max_queue(max_queue) {
  for (int i = 0; i < threads; ++i) {
    m_threads.emplace_back([this] { Run(); });
  }
}

WorkerPool::~WorkerPool() {
  {
    absl::MutexLock lock(&m_mutex);
    m_stopping = true;
  }
  for (std::thread& thread : m_threads) {
    thread.join();
  }
}

bool WorkerPool::Submit(std::function<void()> work) {
  absl::MutexLock lock(&m_mutex);
  if (m_stopping || m_queue.size() >= m_max_queue) {
    return false;
  }
  m_queue.push_back(std::move(work));
  return true;
}

void WorkerPool::Run() {
  while (true) {
    std::function<void()> work;
    {
      absl::MutexLock lock(&m_mutex);
      const auto ready = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        return m_stopping || !m_queue.empty();
      };
      m_mutex.Await(absl::Condition(&ready));
      if (m_queue.empty()) {
        return;
      }
      work = std::move(m_queue.front());
      m_queue.pop_front();
    }
    work();
  }
}

}  // namespace bronzecross
