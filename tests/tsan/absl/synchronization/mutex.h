// Stands in front of Abseil's mutex in the thread-sanitizer build.
//
// Debian's Abseil is not built with the sanitizer, which therefore does not see
// its locks and would report every guarded access as a race. This header gives
// the part of the interface that bronzecross uses, on the standard mutex.

#ifndef BRONZECROSS_TESTS_TSAN_ABSL_SYNCHRONIZATION_MUTEX_H_
#define BRONZECROSS_TESTS_TSAN_ABSL_SYNCHRONIZATION_MUTEX_H_

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>

#include <absl/base/thread_annotations.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>

namespace absl {

class Condition {
 public:
  explicit Condition(const bool* flag) : m_holds([flag] { return *flag; }) {}
  template <typename T>
  explicit Condition(const T* predicate)
      : m_holds([predicate] { return (*predicate)(); }) {}
  bool Eval() const { return m_holds(); }

 private:
  std::function<bool()> m_holds;
};

class Mutex {
 public:
  void Lock() { m_mutex.lock(); }
  void Unlock() {
    m_mutex.unlock();
    m_changed.notify_all();
  }
  void ReaderLock() { Lock(); }
  void ReaderUnlock() { Unlock(); }
  void WriterLock() { Lock(); }
  void WriterUnlock() { Unlock(); }
  bool TryLock() { return m_mutex.try_lock(); }
  void AssertHeld() const {}

  void Await(const Condition& condition) {
    std::unique_lock<std::mutex> lock(m_mutex, std::adopt_lock);
    // Unlock() of another holder may have changed the state.
    m_changed.notify_all();
    m_changed.wait(lock, [&] { return condition.Eval(); });
    lock.release();
  }
  bool AwaitWithTimeout(const Condition& condition, Duration timeout) {
    std::unique_lock<std::mutex> lock(m_mutex, std::adopt_lock);
    m_changed.notify_all();
    const bool holds = m_changed.wait_for(lock, ToChronoMilliseconds(timeout),
                                          [&] { return condition.Eval(); });
    lock.release();
    return holds;
  }
  bool AwaitWithDeadline(const Condition& condition, Time deadline) {
    return AwaitWithTimeout(condition, deadline - Now());
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
};

class MutexLock {
 public:
  explicit MutexLock(Mutex* mutex) : m_mutex(mutex) { m_mutex->Lock(); }
  MutexLock(Mutex* mutex, const Condition& condition) : MutexLock(mutex) {
    m_mutex->Await(condition);
  }
  ~MutexLock() { m_mutex->Unlock(); }
  MutexLock(const MutexLock&) = delete;
  MutexLock& operator=(const MutexLock&) = delete;

 private:
  Mutex* m_mutex;
};

using ReaderMutexLock = MutexLock;
using WriterMutexLock = MutexLock;

class ReleasableMutexLock {
 public:
  explicit ReleasableMutexLock(Mutex* mutex) : m_mutex(mutex) {
    m_mutex->Lock();
  }
  ~ReleasableMutexLock() {
    if (m_mutex != nullptr) {
      m_mutex->Unlock();
    }
  }
  void Release() {
    m_mutex->Unlock();
    m_mutex = nullptr;
  }

 private:
  Mutex* m_mutex;
};

class CondVar {
 public:
  void Wait(Mutex* mutex) {
    mutex->Unlock();
    {
      std::unique_lock<std::mutex> lock(m_mutex);
      m_changed.wait_for(lock, std::chrono::milliseconds(1));
    }
    mutex->Lock();
  }
  bool WaitWithTimeout(Mutex* mutex, Duration timeout) {
    const Time deadline = Now() + timeout;
    Wait(mutex);
    return Now() >= deadline;
  }
  void Signal() { m_changed.notify_one(); }
  void SignalAll() { m_changed.notify_all(); }

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
};

}  // namespace absl

#endif  // BRONZECROSS_TESTS_TSAN_ABSL_SYNCHRONIZATION_MUTEX_H_
