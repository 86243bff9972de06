#include "kv/prefix_follower.h"

#include <algorithm>

#include "aio/wait.h"
#include "base/log.h"
#include "base/random.h"

namespace bronzecross {
namespace {

// How long one watch waits. Each waiting watch is a priced call, and keep-alive
// probes find a silent connection much sooner.
constexpr Millis kWatchWait{28'000};

// Pause after a failed call, in milliseconds: between these bounds, so that the
// VMs don't return at the same moment.
constexpr int64_t kLeastPauseMs = 80;
constexpr int64_t kMostPauseMs = 320;

// Pause before the next watch after events, so that changes which come close
// together cost one call.
constexpr Millis kGatherTime{100};

Millis RandomPause() {
  return Millis(kLeastPauseMs +
                static_cast<int64_t>(
                    RandomBelow(ThreadRandom(), kMostPauseMs - kLeastPauseMs)));
}

}  // namespace

Task<> FollowPrefix(KvSession& session,
                    std::string prefix,
                    PrefixHandlers handlers) {
  for (;;) {
    const Result<KvPage> snapshot = co_await session.Range(prefix);
    if (!snapshot) {
      co_await Sleep(RandomPause());
      continue;
    }
    handlers.m_on_snapshot(snapshot->m_items);
    int64_t revision = snapshot->m_store_revision;
    bool has_history = true;
    while (has_history) {
      const Result<KvEvents> events =
          co_await session.Watch(prefix, revision, kWatchWait);
      if (events) {
        for (const KvEvent& event : events->m_events) {
          handlers.m_on_event(event);
        }
        revision = std::max(revision, events->m_store_revision);
        if (!events->m_events.empty()) {
          co_await Sleep(kGatherTime);
        }
        continue;
      }
      if (events.error().m_code == ResultCode::kHistoryGone) {
        Log(Severity::kInfo, LogPart::kStore,
            "The store dropped its history; reading all again.",
            {{"prefix", prefix}, {"revision", revision}});
        has_history = false;
        continue;
      }
      co_await Sleep(RandomPause());
    }
  }
}

}  // namespace bronzecross
