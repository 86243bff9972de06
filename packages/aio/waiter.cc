#include "aio/waiter.h"

#include <algorithm>

#include "aio/event_loop.h"

namespace bronzecross {

void Waiter::Fire() {
  if (!m_fired) {
    m_fired = true;
    EventLoop::Current().Post(m_handle);
  }
}

void Condition::Remove(Waiter& waiter) {
  const auto found = std::find(m_waiters.begin(), m_waiters.end(), &waiter);
  if (found != m_waiters.end()) {
    m_waiters.erase(found);
  }
}

void Condition::NotifyAll() {
  for (Waiter* waiter : m_waiters) {
    waiter->Fire();
  }
}

}  // namespace bronzecross
