// Single-threaded event loop with edge-triggered epoll and timers. Each
// descriptor is registered only once, since system calls are expensive on a
// small VM.

#ifndef BRONZECROSS_AIO_EVENT_LOOP_H_
#define BRONZECROSS_AIO_EVENT_LOOP_H_

#include <coroutine>
#include <cstdint>
#include <functional>
#include <set>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "aio/waiter.h"
#include "base/clock.h"

namespace bronzecross {

// Readiness of a descriptor, as reported by epoll.
struct IoReadiness {
  bool m_readable = false;  // also set at end of file and on errors
  bool m_writable = false;  // also set on errors
  bool m_hung_up = false;   // the peer closed its sending side
};

// Receives the readiness events of a descriptor that the loop watches.
class IoTarget {
 public:
  virtual ~IoTarget() = default;
  virtual void OnReady(IoReadiness readiness) = 0;
};

class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Returns the loop of the calling thread, which must exist.
  static EventLoop& Current();

  // Runs until Stop().
  void Run();
  void Stop() { m_stopped = true; }

  // Watches `fd` until Remove(). Returns the id of the registration.
  uint64_t Add(int fd, IoTarget& target);
  void Remove(int fd, uint64_t id);

  // Schedules `handle` to be resumed in this or the next iteration.
  void Post(std::coroutine_handle<> handle) { m_ready.push_back(handle); }

  // Schedules `handle` to be resumed after the next check for ready
  // descriptors and due timers.
  void PostAfterPoll(std::coroutine_handle<> handle) {
    m_after_poll.push_back(handle);
  }

  // Fires `waiter` at `when` unless the timer is removed before.
  void AddTimer(Millis when, Waiter& waiter);
  void RemoveTimer(Millis when, Waiter& waiter);

  // Sets a function that is called in each iteration before the loop sleeps.
  void SetIdleHook(std::function<void()> hook) {
    m_idle_hook = std::move(hook);
  }

 private:
  void RunReady();
  void FireTimers();
  int GetSleepMs() const;

  int m_epoll = -1;
  bool m_stopped = false;
  Millis m_now;
  uint64_t m_next_id = 1;
  // Targets by registration id. Events carry the id rather than a pointer,
  // since a target may be removed before its event is handled.
  absl::flat_hash_map<uint64_t, IoTarget*> m_targets;
  std::set<std::pair<Millis, Waiter*>> m_timers;
  std::vector<std::coroutine_handle<>> m_ready;
  std::vector<std::coroutine_handle<>> m_after_poll;
  std::function<void()> m_idle_hook;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_AIO_EVENT_LOOP_H_
