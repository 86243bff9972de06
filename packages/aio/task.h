// A coroutine that returns one value. It starts when it is awaited or spawned
// and runs only on the thread of the event loop.

#ifndef BRONZECROSS_AIO_TASK_H_
#define BRONZECROSS_AIO_TASK_H_

#include <coroutine>
#include <exception>
#include <optional>
#include <string_view>
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
  // Failures are reported as values. An exception is unexpected, such as a lack
  // of memory, and is passed on to the awaiting coroutine.
  void unhandled_exception() noexcept {
    m_exception = std::current_exception();
  }
  void RethrowException() const {
    if (m_exception) {
      std::rethrow_exception(m_exception);
    }
  }

  std::coroutine_handle<> m_continuation;
  std::exception_ptr m_exception;
};

// Stores the value of a task until it is taken. The language prescribes the
// function names.
template <typename T>
struct ValuePromise : PromiseBase {
  void return_value(T value) { m_value.emplace(std::move(value)); }
  T Take() {
    RethrowException();
    return std::move(*m_value);
  }

  std::optional<T> m_value;
};

template <>
struct ValuePromise<void> : PromiseBase {
  void return_void() {}
  void Take() { RethrowException(); }
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

// Logs an exception that ended a task.
void LogTaskException(std::string_view what);

inline DetachedTask RunIsolated(Task<> task) {
  try {
    co_await std::move(task);
  } catch (const std::exception& error) {
    LogTaskException(error.what());
  } catch (...) {
    LogTaskException("unknown exception");
  }
}

}  // namespace internal

// Starts `task` immediately and returns when it first suspends or ends. An
// exception in it ends the process: without the task, the process would go on
// in an undefined state.
inline void Spawn(Task<> task) {
  internal::RunDetached(std::move(task));
}

// The same for a task whose loss affects only one connection or request: an
// exception ends that task alone, with a log line.
inline void SpawnIsolated(Task<> task) {
  internal::RunIsolated(std::move(task));
}

}  // namespace bronzecross

#endif  // BRONZECROSS_AIO_TASK_H_
