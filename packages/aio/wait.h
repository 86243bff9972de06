// Waits for the first of several conditions or a deadline.

#ifndef BRONZECROSS_AIO_WAIT_H_
#define BRONZECROSS_AIO_WAIT_H_

#include <coroutine>
#include <initializer_list>

#include <absl/container/inlined_vector.h>

#include "aio/waiter.h"
#include "base/clock.h"

namespace bronzecross {

// A deadline that is never reached.
inline constexpr Millis kNever{INT64_MAX / 4};

// Awaitable that suspends until one of the conditions is notified or `deadline`
// has passed, whichever comes first. The conditions must outlive the wait.
class WaitAny {
 public:
  explicit WaitAny(Millis deadline) : m_deadline(deadline) {}

  void Add(Condition& condition) { m_conditions.push_back(&condition); }

  bool await_ready() const noexcept { return false; }
  void await_suspend(std::coroutine_handle<> handle);
  void await_resume();

 private:
  Millis m_deadline;
  Waiter m_waiter;
  absl::InlinedVector<Condition*, 4> m_conditions;
};

// Awaitable that lets the other tasks of the loop run. A task that finds input
// available again and again must use it, or the others never run.
class YieldToLoop {
 public:
  bool await_ready() const noexcept { return false; }
  void await_suspend(std::coroutine_handle<> handle);
  void await_resume() const noexcept {}
};

// Returns an awaitable that suspends for `duration`.
WaitAny Sleep(Millis duration);

}  // namespace bronzecross

#endif  // BRONZECROSS_AIO_WAIT_H_
