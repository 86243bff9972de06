#include "aio/wait.h"

#include "aio/event_loop.h"

namespace bronzecross {

void WaitAny::await_suspend(std::coroutine_handle<> handle) {
  m_waiter.m_handle = handle;
  for (Condition* condition : m_conditions) {
    condition->Add(m_waiter);
  }
  if (m_deadline < kNever) {
    EventLoop::Current().AddTimer(m_deadline, m_waiter);
  }
}

void WaitAny::await_resume() {
  for (Condition* condition : m_conditions) {
    condition->Remove(m_waiter);
  }
  if (m_deadline < kNever) {
    EventLoop::Current().RemoveTimer(m_deadline, m_waiter);
  }
}

void YieldToLoop::await_suspend(std::coroutine_handle<> handle) {
  EventLoop::Current().PostAfterPoll(handle);
}

WaitAny Sleep(Millis duration) {
  return WaitAny(MonotonicNow() + duration);
}

}  // namespace bronzecross
