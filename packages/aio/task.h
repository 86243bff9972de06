// A coroutine that returns one value. It starts when it is awaited or spawned
// and runs only on the thread of the event loop.

#ifndef BRONZECROSS_AIO_TASK_H_
#define BRONZECROSS_AIO_TASK_H_

#include <coroutine>
#include <exception>
#include <optional>
#include <utility>

namespace bronzecross {

namespace internal {

// Resumes the awaiting coroutine when a task ends.
struct FinalAwaiter {
  bool await_ready() noexcept { return false; }
  template <typename Promise>
  std::coroutine_handle<> await_suspend(
      std::coroutine_handle<Promise> handle) noexcept {
    return handle.promise().m_continuation
               ? handle.promise().m_continuation
               : std::coroutine_handle<>(std::noop_coroutine());
  }
  void await_resume() noexcept {}
};

struct PromiseBase {
  std::suspend_always initial_suspend() noexcept { return {}; }
  FinalAwaiter final_suspend() noexcept { return {}; }
  // Failures are reported as values, so an exception here is a programming
  // error.
  void unhandled_exception() noexcept { std::terminate(); }

  std::coroutine_handle<> m_continuation;
};

// Stores the value of a task until it is taken. The language prescribes the
// function names.
template <typename T>
struct ValuePromise : PromiseBase {
  void return_value(T value) { m_value.emplace(std::move(value)); }
  T Take() { return std::move(*m_value); }

  std::optional<T> m_value;
};

template <>
struct ValuePromise<void> : PromiseBase {
  void return_void() {}
  void Take() {}
};

}  // namespace internal

template <typename T = void>
class [[nodiscard]] Task {
 public:
  // The language prescribes the name.
  struct promise_type : internal::ValuePromise<T> {  // NOLINT
    Task get_return_object() {
      return Task(std::coroutine_handle<promise_type>::from_promise(*this));
    }
  };

  Task(Task&& other) noexcept
      : m_handle(std::exchange(other.m_handle, nullptr)) {}
  Task& operator=(Task&&) = delete;
  ~Task() {
    if (m_handle) {
      m_handle.destroy();
    }
  }

  bool await_ready() const noexcept { return false; }
  std::coroutine_handle<> await_suspend(std::coroutine_handle<> caller) {
    m_handle.promise().m_continuation = caller;
    return m_handle;
  }
  T await_resume() { return m_handle.promise().Take(); }

 private:
  explicit Task(std::coroutine_handle<promise_type> handle)
      : m_handle(handle) {}

  std::coroutine_handle<promise_type> m_handle;
};

namespace internal {

// Coroutine without an owner: its frame is freed when the spawned task ends.
struct DetachedTask {
  struct promise_type {  // NOLINT
    DetachedTask get_return_object() { return {}; }
    std::suspend_never initial_suspend() noexcept { return {}; }
    std::suspend_never final_suspend() noexcept { return {}; }
    void return_void() {}
    void unhandled_exception() noexcept { std::terminate(); }
  };
};

inline DetachedTask RunDetached(Task<> task) {
  co_await std::move(task);
}

}  // namespace internal

// Starts `task` immediately and returns when it first suspends or ends.
inline void Spawn(Task<> task) {
  internal::RunDetached(std::move(task));
}

}  // namespace bronzecross

#endif  // BRONZECROSS_AIO_TASK_H_
