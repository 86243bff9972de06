#include "limits/lender_link.h"

#include <algorithm>

#include <absl/time/time.h>

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr Millis kTimeout{200};
// Requests don't wait for the reply of a VM that takes longer.
constexpr Millis kMaxReplyWait{30};
// Minimum time between messages that no request waits for.
constexpr Millis kPrefetchInterval{10};
// Interval at which loans are checked for surplus to return when nothing calls
// Wake().
constexpr Millis kIdleInterval{20};
constexpr Millis kInitialBackoff{100};
constexpr int kMaxBackoffDoublings = 4;

}  // namespace

LenderLink::LenderLink(Membership& membership,
                       std::string vm,
                       LenderLinkHandlers handlers)
    : m_membership(membership),
      m_vm(std::move(vm)),
      m_handlers(std::move(handlers)),
      m_thread([this] { Run(); }) {}

LenderLink::~LenderLink() {
  Stop();
  m_thread.join();
}

void LenderLink::Stop() {
  absl::MutexLock lock(&m_mutex);
  m_stopping = true;
}

int64_t LenderLink::Wake(bool urgent) {
  absl::MutexLock lock(&m_mutex);
  m_urgent = m_urgent || urgent;
  return ++m_last_ticket;
}

bool LenderLink::IsFinished(int64_t ticket) const {
  absl::MutexLock lock(&m_mutex);
  const Millis now = MonotonicNow();
  return m_finished_ticket >= ticket || now < m_backoff_until ||
         (m_sent != Millis(0) && now - m_sent > kMaxReplyWait);
}

bool LenderLink::WaitForWork() {
  const auto has_urgent = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
    return m_stopping || (m_urgent && m_last_ticket > m_started_ticket);
  };
  const auto has_work = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
    return m_stopping || m_last_ticket > m_started_ticket;
  };
  absl::MutexLock lock(&m_mutex);
  const Millis backoff = m_backoff_until - MonotonicNow();
  if (backoff > Millis(0)) {
    m_mutex.AwaitWithTimeout(absl::Condition(&m_stopping),
                             absl::Milliseconds(backoff.count()));
  }
  m_mutex.AwaitWithTimeout(absl::Condition(&has_work),
                           absl::Milliseconds(kIdleInterval.count()));
  const Millis pause = m_last_sent + kPrefetchInterval - MonotonicNow();
  if (pause > Millis(0)) {
    m_mutex.AwaitWithTimeout(absl::Condition(&has_urgent),
                             absl::Milliseconds(pause.count()));
  }
  m_started_ticket = m_last_ticket;
  m_urgent = false;
  return !m_stopping;
}

void LenderLink::Run() {
  while (WaitForWork()) {
    const json message = m_handlers.m_make_request();
    if (message.is_null()) {
      absl::MutexLock lock(&m_mutex);
      m_finished_ticket = m_started_ticket;
      continue;
    }
    const Millis sent = MonotonicNow();
    {
      absl::MutexLock lock(&m_mutex);
      m_sent = sent;
      m_last_sent = sent;
    }
    const Result<json> reply =
        m_membership.Call(m_vm, "limits.borrow", message, kTimeout);
    m_handlers.m_on_reply(reply ? *reply : json(nullptr), sent);
    absl::MutexLock lock(&m_mutex);
    m_sent = Millis(0);
    m_finished_ticket = m_started_ticket;
    if (reply) {
      m_failures = 0;
    } else {
      m_backoff_until = MonotonicNow() + kInitialBackoff * (1 << m_failures);
      m_failures = std::min(m_failures + 1, kMaxBackoffDoublings);
    }
  }
}

}  // namespace bronzecross
