#include "online/attempt_shared.h"

namespace bronzecross {

FairQueue& AttemptShared::QueueOf(const std::string& pool) {
  absl::MutexLock lock(&m_mutex);
  std::unique_ptr<FairQueue>& queue = m_queues[pool];
  if (queue == nullptr) {
    queue = std::make_unique<FairQueue>(m_options.m_max_queue);
  }
  return *queue;
}

void AttemptShared::CountRequest() {
  absl::MutexLock lock(&m_mutex);
  RecordRequest(m_budget, MonotonicNow());
}

bool AttemptShared::TakeRetry() {
  absl::MutexLock lock(&m_mutex);
  return bronzecross::TakeRetry(m_budget, MonotonicNow());
}

}  // namespace bronzecross
