#include "ledger/ask_copies.h"

#include <memory>
#include <thread>

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

namespace bronzecross {
namespace {

struct Gathering {
  absl::Mutex m_mutex;
  std::vector<std::optional<Result<CopyState>>> m_answers
      ABSL_GUARDED_BY(m_mutex);
  size_t m_answered ABSL_GUARDED_BY(m_mutex) = 0;
  size_t m_valid ABSL_GUARDED_BY(m_mutex) = 0;
};

}  // namespace

std::vector<std::optional<Result<CopyState>>> AskCopies(
    std::span<const std::string> copies,
    size_t need,
    Millis grace,
    const std::shared_ptr<CallTracker>& tracker,
    const CopyQuestion& ask) {
  const std::shared_ptr<Gathering> gathering = std::make_shared<Gathering>();
  const size_t count = copies.size();
  absl::MutexLock lock(&gathering->m_mutex);
  gathering->m_answers.resize(count);
  for (size_t i = 0; i < count; ++i) {
    tracker->Begin();
    std::thread([gathering, tracker, ask, i, vm = copies[i]] {
      Result<CopyState> answer = ask(vm);
      tracker->End();
      absl::MutexLock answer_lock(&gathering->m_mutex);
      ++gathering->m_answered;
      gathering->m_valid += answer && IsValidCopy(*answer) ? 1 : 0;
      gathering->m_answers[i] = std::move(answer);
    }).detach();
  }
  const auto enough = [&]() ABSL_SHARED_LOCKS_REQUIRED(gathering->m_mutex) {
    return gathering->m_answered == count || gathering->m_valid >= need;
  };
  const auto all = [&]() ABSL_SHARED_LOCKS_REQUIRED(gathering->m_mutex) {
    return gathering->m_answered == count;
  };
  gathering->m_mutex.Await(absl::Condition(&enough));
  gathering->m_mutex.AwaitWithTimeout(absl::Condition(&all),
                                      absl::Milliseconds(grace.count()));
  return gathering->m_answers;
}

}  // namespace bronzecross
