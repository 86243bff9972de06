#include "online/fair_queue.h"

#include <algorithm>
#include <cassert>

#include <absl/time/clock.h>
#include <absl/time/time.h>

namespace bronzecross {
namespace {

constexpr Millis kRetryAfter{1000};

}  // namespace

FairQueue::FairQueue(size_t max_per_workspace)
    : m_max_per_workspace(max_per_workspace) {}

bool FairQueue::IsEmpty() {
  absl::MutexLock lock(&m_mutex);
  return m_order.empty();
}

FairQueue::Waiter* FairQueue::Head() {
  return m_order.empty() ? nullptr : m_waiters[m_order.front()].front();
}

Status FairQueue::Join(Waiter& waiter) {
  absl::MutexLock lock(&m_mutex);
  const auto found = m_waiters.find(waiter.m_workspace);
  const size_t waiting = found == m_waiters.end() ? 0 : found->second.size();
  if (waiting >= m_max_per_workspace) {
    return tl::unexpected<Error>(
        Error{ResultCode::kOverloaded,
              "all upstreams and the workspace's queue are full",
              RunState::kNotRun, kRetryAfter});
  }
  m_waiters[waiter.m_workspace].push_back(&waiter);
  if (waiting == 0) {
    m_order.push_back(waiter.m_workspace);
  }
  return {};
}

bool FairQueue::WaitTurn(Waiter& waiter, Millis timeout) {
  const absl::Time deadline = absl::Now() + absl::Milliseconds(timeout.count());
  absl::MutexLock lock(&m_mutex);
  while (Head() != &waiter) {
    if (waiter.m_turn.WaitWithDeadline(&m_mutex, deadline)) {
      return Head() == &waiter;
    }
  }
  return true;
}

void FairQueue::Leave(Waiter& waiter) {
  absl::MutexLock lock(&m_mutex);
  const bool had_turn = Head() == &waiter;
  std::deque<Waiter*>& waiters = m_waiters[waiter.m_workspace];
  const auto place = std::find(waiters.begin(), waiters.end(), &waiter);
  assert(place != waiters.end());
  waiters.erase(place);
  const bool is_last = waiters.empty();
  if (is_last) {
    m_waiters.erase(waiter.m_workspace);
  }
  if (had_turn) {
    m_order.pop_front();
    if (!is_last) {
      m_order.push_back(waiter.m_workspace);
    }
  } else if (is_last) {
    m_order.erase(
        std::find(m_order.begin(), m_order.end(), waiter.m_workspace));
  }
  if (Waiter* head = Head()) {
    head->m_turn.Signal();
  }
}

}  // namespace bronzecross
