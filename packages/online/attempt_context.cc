#include "online/attempt_context.h"

namespace bronzecross {

FairQueue& AttemptContext::QueueOf(const std::string& pool) {
  absl::MutexLock lock(&m_mutex);
  std::unique_ptr<FairQueue>& queue = m_queues[pool];
  if (queue == nullptr) {
    queue = std::make_unique<FairQueue>(m_options.m_max_queue);
  }
  return *queue;
}

void AttemptContext::CountRequest() {
  absl::MutexLock lock(&m_mutex);
  RecordRequest(m_budget, MonotonicNow());
}

bool AttemptContext::TakeRetry() {
  absl::MutexLock lock(&m_mutex);
  return bronzecross::TakeRetry(m_budget, MonotonicNow());
}

}  // namespace bronzecross
