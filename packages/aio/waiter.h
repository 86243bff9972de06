// Suspended coroutines and what resumes them.

#ifndef BRONZECROSS_AIO_WAITER_H_
#define BRONZECROSS_AIO_WAITER_H_

#include <coroutine>

#include <absl/container/inlined_vector.h>

namespace bronzecross {

// One suspended coroutine. Invariant: it is resumed once, by the first
// condition or timer that fires.
struct Waiter {
  std::coroutine_handle<> m_handle;
  bool m_fired = false;

  // Schedules the coroutine on the current loop.
  void Fire();
};

// Something that coroutines wait for. It keeps no state: who waits checks first
// whether there is a need to.
class Condition {
 public:
  Condition() = default;
  Condition(const Condition&) = delete;
  Condition& operator=(const Condition&) = delete;

  void Add(Waiter& waiter) { m_waiters.push_back(&waiter); }
  void Remove(Waiter& waiter);
  // Wakes all who wait now.
  void NotifyAll();

 private:
  absl::InlinedVector<Waiter*, 2> m_waiters;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_AIO_WAITER_H_
