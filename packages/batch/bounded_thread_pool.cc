#include "batch/bounded_thread_pool.h"

namespace bronzecross {

BoundedThreadPool::BoundedThreadPool(size_t max_threads)
    : m_max_threads(max_threads) {}

BoundedThreadPool::~BoundedThreadPool() {
  std::vector<std::thread> threads;
  {
    absl::MutexLock lock(&m_mutex);
    m_stopping = true;
    threads.swap(m_threads);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

void BoundedThreadPool::Submit(std::function<void()> work) {
  absl::MutexLock lock(&m_mutex);
  m_queue.push_back(std::move(work));
  if (m_idle < m_queue.size() && m_threads.size() < m_max_threads &&
      !m_stopping) {
    m_threads.emplace_back([this] { Run(); });
  }
}

void BoundedThreadPool::Run() {
  while (true) {
    std::function<void()> work;
    {
      absl::MutexLock lock(&m_mutex);
      const auto ready = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        return m_stopping || !m_queue.empty();
      };
      ++m_idle;
      m_mutex.Await(absl::Condition(&ready));
      --m_idle;
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
