#include "ledger/query_copies.h"

#include <memory>
#include <thread>

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

namespace bronzecross {
namespace {

struct Gathering {
  absl::Mutex m_mutex;
  std::vector<std::optional<Result<CopyState>>> m_replies
      ABSL_GUARDED_BY(m_mutex);
  size_t m_reply_count ABSL_GUARDED_BY(m_mutex) = 0;
  size_t m_valid ABSL_GUARDED_BY(m_mutex) = 0;
};

}  // namespace

std::vector<std::optional<Result<CopyState>>> QueryCopies(
    std::span<const std::string> copies,
    size_t quorum,
    Millis straggler_timeout,
    const std::shared_ptr<CallTracker>& tracker,
    const CopyQuery& query) {
  const std::shared_ptr<Gathering> gathering = std::make_shared<Gathering>();
  const size_t count = copies.size();
  absl::MutexLock lock(&gathering->m_mutex);
  gathering->m_replies.resize(count);
  for (size_t i = 0; i < count; ++i) {
    tracker->Begin();
    std::thread([gathering, tracker, query, i, vm = copies[i]] {
      Result<CopyState> reply = query(vm);
      tracker->End();
      absl::MutexLock reply_lock(&gathering->m_mutex);
      ++gathering->m_reply_count;
      gathering->m_valid += reply && IsValidCopy(*reply) ? 1 : 0;
      gathering->m_replies[i] = std::move(reply);
    }).detach();
  }
  const auto enough = [&]() ABSL_SHARED_LOCKS_REQUIRED(gathering->m_mutex) {
    return gathering->m_reply_count == count || gathering->m_valid >= quorum;
  };
  const auto all = [&]() ABSL_SHARED_LOCKS_REQUIRED(gathering->m_mutex) {
    return gathering->m_reply_count == count;
  };
  gathering->m_mutex.Await(absl::Condition(&enough));
  gathering->m_mutex.AwaitWithTimeout(
      absl::Condition(&all), absl::Milliseconds(straggler_timeout.count()));
  return gathering->m_replies;
}

}  // namespace bronzecross
