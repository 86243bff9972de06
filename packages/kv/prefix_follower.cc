#include "kv/prefix_follower.h"

#include <algorithm>

#include "aio/wait.h"
#include "base/log.h"

namespace bronzecross {
namespace {

// A VM that is behind another one for so long and two pauses after events has
// lost a notice. Notices take a few milliseconds.
constexpr Millis kBehindLimit{150};

}  // namespace

PrefixFollower::PrefixFollower(KvSession& session,
                               std::string prefix,
                               PrefixHandlers handlers)
    : m_session(session),
      m_prefix(std::move(prefix)),
      m_handlers(std::move(handlers)) {}

Task<bool> PrefixFollower::ReadAll() {
  const Result<KvPage> snapshot = co_await m_session.Range(m_prefix);
  if (!snapshot) {
    co_return false;
  }
  for (const KvItem& item : snapshot->m_items) {
    m_last_change = std::max(m_last_change, item.m_revision);
  }
  m_known_up_to = std::max(m_known_up_to, snapshot->m_store_revision);
  m_handlers.m_on_snapshot(snapshot->m_items);
  co_return true;
}

Task<> PrefixFollower::Follow() {
  int64_t revision = m_known_up_to;
  for (;;) {
    const Result<KvEvents> events =
        co_await m_session.Watch(m_prefix, revision, m_session.WatchWait());
    if (events) {
      for (const KvEvent& event : events->m_events) {
        m_last_change = std::max(m_last_change, event.m_item.m_revision);
        m_handlers.m_on_event(event);
      }
      revision = std::max(revision, events->m_store_revision);
      m_known_up_to = std::max(m_known_up_to, revision);
      if (!events->m_events.empty()) {
        co_await Sleep(m_gather_time);
      }
      continue;
    }
    if (events.error().m_code == ResultCode::kHistoryGone) {
      Log(Severity::kInfo, LogPart::kStore,
          "The store dropped its history; reading all again.",
          {{"prefix", m_prefix}, {"revision", revision}});
      co_return;
    }
    co_await m_session.PauseAfterFailure();
  }
}

Task<> PrefixFollower::Run() {
  for (;;) {
    const bool read = co_await ReadAll();
    if (read) {
      co_await Follow();
    } else {
      co_await m_session.PauseAfterFailure();
    }
  }
}

Task<> PrefixFollower::ReadAgain() {
  m_reading_again = true;
  co_await ReadAll();
  m_reading_again = false;
  m_behind_since = Millis();
}

void PrefixFollower::OnPeerChange(int64_t revision, Millis now) {
  if (revision <= m_known_up_to || m_known_up_to == 0) {
    return;
  }
  if (m_behind_since == Millis()) {
    m_behind_since = now;
    return;
  }
  if (now - m_behind_since >= kBehindLimit + m_gather_time * 2 &&
      !m_reading_again) {
    Log(Severity::kWarning, LogPart::kStore,
        "Another VM knows a later change; reading all again.",
        {{"prefix", m_prefix},
         {"known_up_to", m_known_up_to},
         {"change", revision}});
    Spawn(ReadAgain());
  }
}

}  // namespace bronzecross
