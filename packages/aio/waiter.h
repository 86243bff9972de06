// Suspended coroutines and the conditions that resume them.

#ifndef BRONZECROSS_AIO_WAITER_H_
#define BRONZECROSS_AIO_WAITER_H_

#include <coroutine>

#include <absl/container/inlined_vector.h>

namespace bronzecross {

// A suspended coroutine. Invariant: it is resumed only once, by the first
// condition or timer that fires.
struct Waiter {
  std::coroutine_handle<> m_handle;
  bool m_fired = false;

  // Schedules the coroutine on the current loop, unless it was fired before.
  void Fire();
};

// Notifies waiting coroutines. It stores no state, so a notification without
// waiters is lost: check whether waiting is necessary before adding a waiter.
class Condition {
 public:
  Condition() = default;
  Condition(const Condition&) = delete;
  Condition& operator=(const Condition&) = delete;

  void Add(Waiter& waiter) { m_waiters.push_back(&waiter); }
  void Remove(Waiter& waiter);
  // Fires all current waiters.
  void NotifyAll();

 private:
  absl::InlinedVector<Waiter*, 2> m_waiters;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_AIO_WAITER_H_
