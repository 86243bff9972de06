#include "limits/lender_link.h"

#include <algorithm>

#include <absl/time/time.h>

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr Millis kTimeout{200};
// A VM that takes longer is no longer waited for.
constexpr Millis kSlowAfter{30};
// Time between messages that no request waits for.
constexpr Millis kAheadInterval{10};
// Without a wake-up, loans are looked through this often for what goes back.
constexpr Millis kIdleInterval{20};
constexpr Millis kFirstQuiet{100};
constexpr int kMostDoublings = 4;

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
  return ++m_wanted;
}

bool LenderLink::IsAnswered(int64_t ticket) const {
  absl::MutexLock lock(&m_mutex);
  const Millis now = MonotonicNow();
  return m_answered >= ticket || now < m_quiet_until ||
         (m_sent != Millis(0) && now - m_sent > kSlowAfter);
}

bool LenderLink::WaitForWork() {
  const auto has_urgent = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
    return m_stopping || (m_urgent && m_wanted > m_started);
  };
  const auto has_work = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
    return m_stopping || m_wanted > m_started;
  };
  absl::MutexLock lock(&m_mutex);
  const Millis quiet = m_quiet_until - MonotonicNow();
  if (quiet > Millis(0)) {
    m_mutex.AwaitWithTimeout(absl::Condition(&m_stopping),
                             absl::Milliseconds(quiet.count()));
  }
  m_mutex.AwaitWithTimeout(absl::Condition(&has_work),
                           absl::Milliseconds(kIdleInterval.count()));
  const Millis pause = m_last_sent + kAheadInterval - MonotonicNow();
  if (pause > Millis(0)) {
    m_mutex.AwaitWithTimeout(absl::Condition(&has_urgent),
                             absl::Milliseconds(pause.count()));
  }
  m_started = m_wanted;
  m_urgent = false;
  return !m_stopping;
}

void LenderLink::Run() {
  while (WaitForWork()) {
    const json message = m_handlers.m_make();
    if (message.is_null()) {
      absl::MutexLock lock(&m_mutex);
      m_answered = m_started;
      continue;
    }
    const Millis sent = MonotonicNow();
    {
      absl::MutexLock lock(&m_mutex);
      m_sent = sent;
      m_last_sent = sent;
    }
    const Result<json> answer =
        m_membership.Call(m_vm, "limits.borrow", message, kTimeout);
    m_handlers.m_take(answer ? *answer : json(nullptr), sent);
    absl::MutexLock lock(&m_mutex);
    m_sent = Millis(0);
    m_answered = m_started;
    if (answer) {
      m_failures = 0;
    } else {
      m_quiet_until = MonotonicNow() + kFirstQuiet * (1 << m_failures);
      m_failures = std::min(m_failures + 1, kMostDoublings);
    }
  }
}

}  // namespace bronzecross
