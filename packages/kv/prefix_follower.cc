#include "kv/prefix_follower.h"

#include <algorithm>
#include <vector>

#include "aio/wait.h"
#include "base/log.h"
#include "base/metrics.h"

namespace bronzecross {
namespace {

// A VM that is behind another one for this time plus two coalescing delays has
// missed an event. Events arrive within a few milliseconds.
constexpr Millis kMaxBehindTime{150};

// How long a request to another VM waits for a change. The loss of that VM is
// detected earlier, by the end of the connection or by keep-alive probes.
constexpr Millis kSourceWait{10'000};

// Interval between the checks of a watch. Together with the time until the
// other VMs compare revisions, it is below the time in which a configuration
// must be in force.
constexpr Millis kCheckInterval{900};

// Maximum number of changes kept for other VMs. A VM that is behind by more
// gets all items.
constexpr size_t kMaxEvents = 256;

}  // namespace

PrefixFollower::PrefixFollower(KvSession& session,
                               std::string prefix,
                               PrefixHandlers handlers)
    : m_session(session),
      m_prefix(std::move(prefix)),
      m_handlers(std::move(handlers)),
      m_log(kMaxEvents) {}

void PrefixFollower::OnSnapshot(std::span<const KvItem> items,
                                int64_t known_up_to) {
  for (const KvItem& item : items) {
    m_last_change = std::max(m_last_change, item.m_revision);
  }
  m_log.Reset(items, known_up_to);
  m_is_loaded = true;
  m_handlers.m_on_snapshot(items);
  m_changed.NotifyAll();
}

void PrefixFollower::OnEvents(std::span<const KvEvent> events) {
  const int64_t before = m_log.KnownUpTo();
  for (const KvEvent& event : events) {
    // A snapshot that was read while the watch was open may include this event.
    if (event.m_item.m_revision <= before) {
      continue;
    }
    m_last_change = std::max(m_last_change, event.m_item.m_revision);
    m_log.Add(event);
    m_handlers.m_on_event(event);
  }
  if (!events.empty()) {
    m_changed.NotifyAll();
  }
}

Task<bool> PrefixFollower::ReadAll() {
  const Result<KvPage> snapshot = co_await m_session.Range(m_prefix);
  if (!snapshot) {
    co_return false;
  }
  // Later changes may have arrived from another VM while the reply was in
  // transit.
  if (!m_is_loaded || snapshot->m_store_revision >= m_log.KnownUpTo()) {
    OnSnapshot(snapshot->m_items, snapshot->m_store_revision);
  }
  co_return true;
}

Task<bool> PrefixFollower::FollowService() {
  const int64_t after = m_log.KnownUpTo();
  const Result<KvEvents> events =
      co_await m_session.Watch(m_prefix, after, m_session.WatchWait());
  if (!events) {
    if (events.error().m_code == ResultCode::kHistoryGone) {
      Log(Severity::kInfo, LogPart::kStore,
          "The store dropped its history; reading all again.",
          {{"prefix", m_prefix}, {"revision", after}});
      co_return false;
    }
    co_await m_session.PauseAfterFailure();
    co_return true;
  }
  OnEvents(events->m_events);
  if (!events->m_events.empty()) {
    co_await Sleep(m_coalescing_delay);
  }
  co_return true;
}

WatchLevels PrefixFollower::Levels() const {
  // A watch that another VM relays is short, and so costs many calls.
  return m_session.ReachesDirectly() ? m_levels : WatchLevels::kFleetAndGroups;
}

Task<> PrefixFollower::FollowSource() {
  const Result<KvChanges> changes = co_await m_source->WaitForChanges(
      m_prefix, Levels(), m_log.KnownUpTo(), kSourceWait);
  // The reply is outdated if a snapshot was read in the meantime.
  if (!changes || changes->m_known_up_to < m_log.KnownUpTo()) {
    co_return;
  }
  if (changes->m_is_snapshot) {
    std::vector<KvItem> items;
    for (const KvEvent& event : changes->m_events) {
      items.push_back(event.m_item);
    }
    OnSnapshot(items, changes->m_known_up_to);
    co_return;
  }
  OnEvents(changes->m_events);
  m_log.AdvanceTo(changes->m_known_up_to);
}

Task<> PrefixFollower::Follow() {
  for (;;) {
    m_watches_service = m_source == nullptr || !m_source->HasWatcher(Levels());
    if (!m_watches_service) {
      m_changed.NotifyAll();
      co_await FollowSource();
      continue;
    }
    const bool can_continue = co_await FollowService();
    if (!can_continue) {
      co_return;
    }
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
  m_missed_revision = 0;
}

Task<bool> PrefixFollower::ReadChanges() {
  const bool has_read = m_is_loaded && co_await Check();
  co_return has_read;
}

Task<bool> PrefixFollower::Check() {
  const int64_t before = m_log.KnownUpTo();
  const Result<KvEvents> events =
      co_await m_session.ReadEvents(m_prefix, before);
  if (!events) {
    if (events.error().m_code == ResultCode::kHistoryGone && !m_reading_again &&
        m_log.KnownUpTo() == before) {
      co_await ReadAgain();
    }
    co_return false;
  }
  const int64_t known = m_log.KnownUpTo();
  OnEvents(events->m_events);
  if (m_log.KnownUpTo() > known) {
    CountMetric("bronzecross_changes_found_by_check_total",
                {{"prefix", m_prefix}});
    Log(Severity::kInfo, LogPart::kStore,
        "A check found a change before the watch told of it.",
        {{"prefix", m_prefix},
         {"known_up_to", known},
         {"change", m_log.KnownUpTo()}});
  }
  co_return true;
}

Task<> PrefixFollower::RunChecks() {
  for (;;) {
    co_await Sleep(kCheckInterval);
    if (m_is_loaded && m_watches_service && m_session.ReachesDirectly() &&
        (m_source == nullptr || m_source->IsChecker())) {
      co_await Check();
    }
  }
}

void PrefixFollower::OnPeerChange(int64_t revision, Millis now) {
  if (!m_is_loaded || revision <= m_log.KnownUpTo()) {
    return;
  }
  if (m_missed_revision <= m_log.KnownUpTo()) {
    m_missed_revision = revision;
    m_missed_since = now;
    return;
  }
  if (now - m_missed_since >= kMaxBehindTime + m_coalescing_delay * 2 &&
      !m_reading_again) {
    Log(Severity::kWarning, LogPart::kStore,
        "Another VM knows a later change; reading all again.",
        {{"prefix", m_prefix},
         {"known_up_to", m_log.KnownUpTo()},
         {"change", revision}});
    Spawn(ReadAgain());
  }
}

bool PrefixFollower::CanShare(bool only_if_watching) const {
  if (!m_is_loaded || m_is_sharing_stopped) {
    return false;
  }
  return m_watches_service ? m_session.ReachesDirectly()
                           : !only_if_watching && m_source != nullptr &&
                                 m_source->IsGroupWatcher();
}

Task<Result<KvChanges>> PrefixFollower::Share(int64_t after,
                                              Millis wait,
                                              bool only_if_watching) {
  const Millis until = MonotonicNow() + wait;
  while (CanShare(only_if_watching) && !m_log.HasChangesSince(after) &&
         MonotonicNow() < until) {
    WaitAny any(until);
    any.Add(m_changed);
    any.Add(m_session.DirectPathChanged());
    co_await any;
  }
  if (!CanShare(only_if_watching)) {
    co_return Fail(ResultCode::kPeerUnavailable,
                   "this VM doesn't watch the store itself");
  }
  co_return m_log.Since(after);
}

void PrefixFollower::StopSharing() {
  m_is_sharing_stopped = true;
  m_changed.NotifyAll();
}

}  // namespace bronzecross
