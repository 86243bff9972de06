#include "kv/kv_session.h"

#include <algorithm>

#include "base/log.h"
#include "base/metrics.h"
#include "base/random.h"
#include "base/text.h"
#include "http1/exchange.h"
#include "platform/store_calls.h"

namespace bronzecross {
namespace {

// Timeout of a call. The service replies within milliseconds, and within half a
// second while it is slow.
constexpr Millis kCallTimeout{1'500};

// Added to the wait of a watch before it times out.
constexpr Millis kWatchSlack{1'500};

// How long an idle connection to the service stays open for reuse.
constexpr Millis kIdleConnectionTimeout{5'000};

// Watches relayed by another VM are short, so that the watch soon returns to
// the direct path once that works again.
constexpr Millis kRelayedWatchWait{2'000};

// Maximum size of a reply. A page holds at most about 1 MB, in base64.
constexpr size_t kMaxReplyBytes = 4 << 20;

// Pauses after a failed call. While no path works, all callers except the probe
// wait up to kMaxRetryPause, since calls are priced also while the service is
// unreachable.
constexpr Millis kMinRetryPause{60};
constexpr Millis kRetryPauseJitter{160};
constexpr Millis kMaxRetryPause{2'000};

constexpr int kTooManyRequestsStatus = 429;
constexpr int kUnavailableStatus = 503;

bool IsRefusal(const KvReply& reply) {
  return reply.m_status == kTooManyRequestsStatus ||
         reply.m_status == kUnavailableStatus;
}

}  // namespace

KvSession::KvSession(const NetAddress& address, Millis history)
    : m_pool(address, kIdleConnectionTimeout),
      m_watch_wait(MaxWatchWait(history)) {}

Task<Result<KvReply>> KvSession::CallDirect(KvCall call, Millis deadline) {
  CountMetric("bronzecross_store_calls_total", {{"call", call.m_name}});
  Log(Severity::kDebug, LogPart::kStore, "Calling the store.",
      {{"call", call.m_name}, {"target", call.m_target}});
  WholeRequest request;
  request.m_head.m_method = std::move(call.m_method);
  request.m_head.m_target = std::move(call.m_target);
  request.m_body = std::move(call.m_body);
  Result<WholeResponse> response =
      co_await Exchange(m_pool, std::move(request), deadline, kMaxReplyBytes);
  if (!response) {
    m_pool.Clear();
    Error error = response.error();
    error.m_code = ResultCode::kStoreUnavailable;
    co_return tl::unexpected<Error>(error);
  }
  KvReply reply;
  reply.m_status = response->m_head.m_status;
  reply.m_body = std::move(response->m_body);
  co_return reply;
}

Task<Result<KvReply>> KvSession::CallAnyPath(KvCall call,
                                             Millis timeout,
                                             CallKind kind) {
  const Millis started = MonotonicNow();
  const Millis deadline = started + timeout;
  const bool can_relay = m_relay != nullptr && m_relay->CanRelay();
  if (FirstPath(m_direct, can_relay, kind == CallKind::kProbe) ==
      StorePath::kRelay) {
    Result<KvReply> relayed = co_await m_relay->Relay(call, deadline);
    co_return relayed;
  }
  const bool may_switch = can_relay && kind != CallKind::kWatch;
  const Millis direct_deadline =
      may_switch ? std::min(deadline, started + DirectTimeout(m_direct))
                 : deadline;
  Result<KvReply> direct = co_await CallDirect(call, direct_deadline);
  const Millis now = MonotonicNow();
  if (direct && !IsRefusal(*direct)) {
    if (kind != CallKind::kWatch) {
      const bool was_failing = IsFailing(m_direct);
      RecordReply(m_direct, now - started);
      if (was_failing) {
        m_direct_changed.NotifyAll();
      }
    }
    co_return direct;
  }
  const bool may_have_run =
      !direct && direct.error().m_run == RunState::kUnknown;
  // The service sometimes closes open watches, so an interrupted watch isn't
  // counted as a failure of the path. Lease renewals detect whether the service
  // is reachable.
  if (kind == CallKind::kWatch && may_have_run) {
    co_return direct;
  }
  RecordDirectFailure(now, may_have_run);
  if (!may_switch) {
    co_return direct;
  }
  Result<KvReply> relayed = co_await m_relay->Relay(std::move(call), deadline);
  if (may_have_run && (!relayed || IsRefusal(*relayed))) {
    co_return direct;
  }
  co_return relayed;
}

void KvSession::RecordDirectFailure(Millis now, bool timed_out) {
  RecordFailedCall(m_direct, now, timed_out);
  m_direct_changed.NotifyAll();
}

Task<Result<KvReply>> KvSession::CallForPeer(KvCall call, Millis deadline) {
  Result<KvReply> reply = co_await CallDirect(std::move(call), deadline);
  const bool is_rejected =
      reply ? IsRefusal(*reply) : reply.error().m_run == RunState::kNotRun;
  // Marks the direct path as failing at once. Otherwise the other VMs would
  // keep sending calls to this VM until its own next call fails.
  if (is_rejected) {
    RecordDirectFailure(MonotonicNow(), false);
  }
  co_return reply;
}

Task<Result<KvReply>> KvSession::Call(KvCall call,
                                      Millis timeout,
                                      CallKind kind) {
  Result<KvReply> reply = co_await CallAnyPath(std::move(call), timeout, kind);
  const bool is_interrupted_watch = kind == CallKind::kWatch && !reply &&
                                    reply.error().m_run == RunState::kUnknown;
  if (!is_interrupted_watch) {
    RecordOutcome(reply);
  }
  co_return reply;
}

void KvSession::RecordOutcome(const Result<KvReply>& reply) {
  const Millis now = MonotonicNow();
  if (!reply || IsRefusal(*reply)) {
    const bool is_first = !m_outage.IsFailing();
    RecordFailure(m_outage, now);
    if (is_first) {
      Log(Severity::kWarning, LogPart::kStore, "A store call failed.",
          {{"reason", reply ? Concat("status ", reply->m_status)
                            : reply.error().m_message}});
    }
    return;
  }
  if (!m_outage.IsFailing()) {
    return;
  }
  Log(Severity::kInfo, LogPart::kStore, "The store is reachable again.",
      {{"failed_for_ms", now - m_outage.m_first_failure},
       {"direct", ReachesDirectly() ? "yes" : "no"}});
  RecordSuccess(m_outage, now);
  m_recovered.NotifyAll();
}

bool KvSession::IsUnreachable() const {
  return m_outage.IsFailing() && IsFailing(m_direct) &&
         (m_relay == nullptr || !m_relay->CanRelay());
}

Task<> KvSession::PauseAfterFailure(Millis until) {
  const Millis jitter(static_cast<int64_t>(
      RandomBelow(ThreadRandom(), kRetryPauseJitter.count())));
  co_await Sleep(kMinRetryPause + jitter);
  co_await WaitUntilReachable(std::min(until, MonotonicNow() + kMaxRetryPause));
}

Task<> KvSession::WaitUntilReachable(Millis until) {
  // Lease renewals continue meanwhile and detect when the service is reachable
  // again.
  while (IsUnreachable() && MonotonicNow() < until) {
    WaitAny wait(until);
    wait.Add(m_recovered);
    co_await wait;
  }
}

Task<Result<KvItem>> KvSession::Get(std::string key) {
  const Result<KvReply> reply =
      co_await Call(platform::EncodeGet(key), kCallTimeout, CallKind::kShort);
  if (!reply) {
    co_return tl::unexpected<Error>(reply.error());
  }
  co_return platform::DecodeGet(*reply);
}

Task<Result<KvPage>> KvSession::Range(std::string prefix, KvReadMode mode) {
  KvPage whole;
  std::string after;
  for (;;) {
    const Result<KvReply> reply =
        co_await Call(platform::EncodeRange(prefix, after, mode), kCallTimeout,
                      CallKind::kShort);
    if (!reply) {
      co_return tl::unexpected<Error>(reply.error());
    }
    Result<KvPage> page = platform::DecodeRange(*reply);
    if (!page) {
      co_return page;
    }
    // The pages together are not a consistent snapshot. A watch from the
    // revision of the first page delivers every change made since then.
    if (whole.m_store_revision == 0) {
      whole.m_store_revision = page->m_store_revision;
    }
    for (KvItem& item : page->m_items) {
      whole.m_items.push_back(std::move(item));
    }
    if (!page->m_has_more || page->m_items.empty()) {
      co_return whole;
    }
    after = whole.m_items.back().m_key;
  }
}

Task<Result<KvEvents>> KvSession::Watch(std::string prefix,
                                        int64_t after,
                                        Millis wait) {
  const bool is_relayed =
      IsFailing(m_direct) && m_relay != nullptr && m_relay->CanRelay();
  const Millis bounded_wait =
      is_relayed ? std::min(wait, kRelayedWatchWait) : wait;
  const Result<KvReply> reply =
      co_await Call(platform::EncodeWatch(prefix, after, bounded_wait),
                    bounded_wait + kWatchSlack, CallKind::kWatch);
  if (!reply) {
    co_return tl::unexpected<Error>(reply.error());
  }
  co_return platform::DecodeWatch(*reply);
}

Task<Result<KvEvents>> KvSession::ReadEvents(std::string prefix,
                                             int64_t after) {
  const Result<KvReply> reply =
      co_await Call(platform::EncodeWatch(prefix, after, Millis()),
                    kCallTimeout, CallKind::kShort);
  if (!reply) {
    co_return tl::unexpected<Error>(reply.error());
  }
  co_return platform::DecodeWatch(*reply);
}

Task<Result<KvOutcome>> KvSession::Transact(KvTransaction transaction) {
  const Result<KvReply> reply = co_await Call(
      platform::EncodeTransaction(transaction), kCallTimeout, CallKind::kShort);
  if (!reply) {
    co_return tl::unexpected<Error>(reply.error());
  }
  co_return platform::DecodeTransaction(*reply);
}

Task<Result<KvGrantedLease>> KvSession::GrantLease(Millis ttl) {
  const Result<KvReply> reply = co_await Call(platform::EncodeGrantLease(ttl),
                                              kCallTimeout, CallKind::kShort);
  if (!reply) {
    co_return tl::unexpected<Error>(reply.error());
  }
  co_return platform::DecodeGrantLease(*reply);
}

Task<Status> KvSession::KeepLease(int64_t lease) {
  const Result<KvReply> reply = co_await Call(platform::EncodeRenewLease(lease),
                                              kCallTimeout, CallKind::kProbe);
  if (!reply) {
    co_return tl::unexpected<Error>(reply.error());
  }
  co_return platform::DecodeRenewLease(*reply);
}

Task<> KvSession::EndLease(int64_t lease) {
  co_await Call(platform::EncodeRevokeLease(lease), kCallTimeout,
                CallKind::kShort);
}

}  // namespace bronzecross
