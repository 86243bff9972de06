#include "aio/event_loop.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cassert>

namespace bronzecross {
namespace {

// Maximum number of events taken from the kernel in one call.
constexpr size_t kMaxEventsPerCall = 64;

// Maximum sleep of one iteration, in milliseconds.
constexpr int kMaxSleepMs = 10'000;

thread_local EventLoop* g_current = nullptr;

}  // namespace

EventLoop::EventLoop()
    : m_epoll(epoll_create1(EPOLL_CLOEXEC)), m_now(MonotonicNow()) {
  assert(g_current == nullptr);
  g_current = this;
}

EventLoop::~EventLoop() {
  close(m_epoll);
  g_current = nullptr;
}

EventLoop& EventLoop::Current() {
  assert(g_current != nullptr);
  return *g_current;
}

uint64_t EventLoop::Add(int fd, IoTarget& target) {
  const uint64_t id = m_next_id++;
  epoll_event event = {};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.u64 = id;
  epoll_ctl(m_epoll, EPOLL_CTL_ADD, fd, &event);
  m_targets.emplace(id, &target);
  return id;
}

void EventLoop::Remove(int fd, uint64_t id) {
  epoll_ctl(m_epoll, EPOLL_CTL_DEL, fd, nullptr);
  m_targets.erase(id);
}

void EventLoop::AddTimer(Millis when, Waiter& waiter) {
  m_timers.emplace(when, &waiter);
}

void EventLoop::RemoveTimer(Millis when, Waiter& waiter) {
  m_timers.erase({when, &waiter});
}

void EventLoop::FireTimers() {
  while (!m_timers.empty() && m_timers.begin()->first <= m_now) {
    Waiter* const waiter = m_timers.begin()->second;
    m_timers.erase(m_timers.begin());
    waiter->Fire();
  }
}

void EventLoop::RunReady() {
  while (!m_ready.empty()) {
    std::vector<std::coroutine_handle<>> batch;
    batch.swap(m_ready);
    for (const std::coroutine_handle<> handle : batch) {
      handle.resume();
    }
  }
}

int EventLoop::GetSleepMs() const {
  if (!m_after_poll.empty()) {
    return 0;
  }
  if (m_timers.empty()) {
    return kMaxSleepMs;
  }
  const int64_t left = (m_timers.begin()->first - MonotonicNow()).count();
  return static_cast<int>(std::clamp<int64_t>(left, 0, kMaxSleepMs));
}

void EventLoop::Run() {
  std::array<epoll_event, kMaxEventsPerCall> events;
  while (!m_stopped) {
    RunReady();
    if (m_idle_hook) {
      m_idle_hook();
    }
    if (m_stopped) {
      break;
    }
    const int count = epoll_wait(m_epoll, events.data(),
                                 static_cast<int>(events.size()), GetSleepMs());
    m_now = MonotonicNow();
    for (int i = 0; i < count; ++i) {
      const auto found = m_targets.find(events[i].data.u64);
      if (found == m_targets.end()) {
        continue;
      }
      const uint32_t mask = events[i].events;
      const bool failed = (mask & (EPOLLERR | EPOLLHUP)) != 0;
      IoReadiness readiness;
      readiness.m_readable = failed || (mask & (EPOLLIN | EPOLLRDHUP)) != 0;
      readiness.m_writable = failed || (mask & EPOLLOUT) != 0;
      readiness.m_hung_up = failed || (mask & EPOLLRDHUP) != 0;
      found->second->OnReady(readiness);
    }
    FireTimers();
    m_ready.insert(m_ready.end(), m_after_poll.begin(), m_after_poll.end());
    m_after_poll.clear();
  }
}

}  // namespace bronzecross
