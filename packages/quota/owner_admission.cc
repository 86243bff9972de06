// Admission at the quota owner of a workspace, in a fleet of several VM groups.

#include <algorithm>

#include "aio/wait.h"
#include "base/hash.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/text.h"
#include "quota/quota_manager.h"
#include "quota/quota_owner.h"

namespace bronzecross {
namespace {

// Time from the start of a VM until tokens are expected to accrue, if its share
// isn't active yet.
constexpr Millis kExpectedShareActivation{1'000};

// How long no request is passed on after the owners of the other shards had no
// token, and after one of them didn't reply.
constexpr Millis kNoTokenPause{25};
constexpr Millis kNoReplyPause{500};

std::string_view RefusalCause(const TokenWaiter& waiter, bool has_share) {
  if (waiter.m_is_passed_on) {
    return "other_shard";
  }
  if (!has_share) {
    return "no_share";
  }
  return waiter.m_reserved_return ? "token_reserved" : "no_token";
}

}  // namespace

struct QuotaManager::OwnerWaiter : TokenWaiter {
  Condition m_changed;
};

// Keeps a request in the line of its account, which refers to it.
class QuotaManager::LineEntry {
 public:
  LineEntry(TokenLine& line, TokenWaiter& waiter, Millis now)
      : m_line(line), m_waiter(waiter) {
    JoinLine(line, waiter, now);
  }
  ~LineEntry() { LeaveLine(m_line, m_waiter); }
  LineEntry(const LineEntry&) = delete;
  LineEntry& operator=(const LineEntry&) = delete;

 private:
  TokenLine& m_line;
  TokenWaiter& m_waiter;
};

TokenSupply QuotaManager::Supply(const Account& account, Millis now) const {
  if (!IsAwaitingShare(now) || CountHanded(account, now) > 0) {
    return {Share(account, now).m_rate_per_s, now};
  }
  const double part =
      static_cast<double>(account.m_owned_shards) / account.m_shard_count;
  return {account.m_rate_per_s * part,
          std::max(m_created + kExpectedShareActivation, now)};
}

void QuotaManager::SettleAccount(Account& account, Millis now) {
  Refill(account, now);
  for (TokenWaiter* waiter : SettleLine(account.m_line, account.m_bucket,
                                        Supply(account, now), now)) {
    static_cast<OwnerWaiter*>(waiter)->m_changed.NotifyAll();
  }
  // The first request of the line wakes up when the next token accrues.
  if (!account.m_line.m_waiting.empty()) {
    static_cast<OwnerWaiter*>(account.m_line.m_waiting.front())
        ->m_changed.NotifyAll();
  }
}

Task<> QuotaManager::WaitInLine(Account& account,
                                OwnerWaiter& waiter,
                                Cancellation& cancellation) {
  const LineEntry entry(account.m_line, waiter, MonotonicNow());
  SettleAccount(account, MonotonicNow());
  while (waiter.m_outcome == TokenOutcome::kWaiting &&
         !cancellation.IsCancelled()) {
    const Millis now = MonotonicNow();
    Millis until = std::max(waiter.m_latest, now + Millis(1));
    if (account.m_line.m_waiting.front() == &waiter) {
      const std::optional<Millis> expected = ExpectedTokenTime(
          waiter.m_has_reservation ? std::span<const ReservedReturn>()
                                   : account.m_line.m_returns,
          account.m_bucket.m_tokens, Supply(account, now), 1, waiter.m_priority,
          now);
      until = std::clamp(expected.value_or(until), now + Millis(1), until);
    }
    WaitAny wait(until);
    wait.Add(waiter.m_changed);
    wait.Add(cancellation.Changed());
    co_await wait;
    if (MonotonicNow() >= until) {
      SettleAccount(account, MonotonicNow());
    }
  }
}

Task<Status> QuotaManager::AdmitAsOwner(TokenRequest request,
                                        const Workspace& workspace,
                                        Cancellation& cancellation) {
  const Millis arrived = MonotonicNow();
  // Other VMs may know that this VM is the quota owner before it does.
  const auto known = m_accounts.find(ShortHash(workspace.m_name));
  if ((known == m_accounts.end() || known->second->m_owned_shards == 0) &&
      RefreshOwnedAccount(workspace, arrived) == nullptr) {
    co_return Fail(ResultCode::kPeerUnavailable,
                   "this VM is not the workspace's quota owner");
  }
  if (!IsOwnerReady(workspace) || !m_share_active) {
    const auto account = m_accounts.find(ShortHash(workspace.m_name));
    if (account == m_accounts.end() || account->second->m_handed.empty()) {
      co_await WaitForShare(
          arrived + std::min(request.m_max_wait, request.m_prompt_refusal));
    }
  }
  const Millis began = MonotonicNow();
  const AccountPtr account = GetOrCreateAccount(workspace, began);
  OwnerWaiter waiter;
  static_cast<TokenWaiter&>(waiter) = MakeTokenWaiter(request, arrived);
  co_await WaitInLine(*account, waiter, cancellation);
  const Millis now = MonotonicNow();
  if (waiter.m_outcome == TokenOutcome::kRefused && !waiter.m_is_passed_on) {
    const bool taken = co_await TakeFromOtherShard(request, workspace, account);
    if (taken) {
      CancelReturn(account->m_line, waiter);
      CountMetric("bronzecross_rate_tokens_total", {{"way", "other_shard"}});
      co_return Status();
    }
  }
  if (waiter.m_outcome != TokenOutcome::kGranted) {
    co_return RejectAsOwner(request.m_request_id, *account, waiter, now);
  }
  CountMetric("bronzecross_rate_tokens_total",
              {{"way", waiter.m_has_reservation ? "reserved"
                       : now > arrived          ? "waited"
                                                : "at_once"}});
  co_return Status();
}

Task<Status> QuotaManager::AdmitAt(std::string vm,
                                   TokenRequest request,
                                   Workspace workspace,
                                   Cancellation& cancellation) {
  Status admitted;
  if (vm == m_cluster.Self().m_id) {
    admitted =
        co_await AdmitAsOwner(std::move(request), workspace, cancellation);
  } else if (m_owner_client != nullptr) {
    admitted = co_await m_owner_client->RequestRateToken(
        std::move(vm), std::move(request), workspace.m_name);
  } else {
    admitted = Fail(ResultCode::kPeerUnavailable, "other VMs can't be called");
  }
  co_return admitted;
}

Task<Status> QuotaManager::AdmitAtOwner(TokenRequest request,
                                        Workspace workspace,
                                        int shard,
                                        Cancellation& cancellation) {
  const Millis began = MonotonicNow();
  const std::string& self = m_cluster.Self().m_id;
  const std::string owner =
      FindQuotaOwner(m_cluster, workspace.m_name, shard, began);
  const bool is_ready = owner != self || IsOwnerReady(workspace);
  Status admitted = Fail(ResultCode::kPeerUnavailable, "the owner isn't ready");
  if (is_ready) {
    admitted = co_await AdmitAt(owner, request, workspace, cancellation);
  }
  const auto is_unavailable = [](const Status& status) {
    return !status && status.error().m_code != ResultCode::kRateLimited;
  };
  const Millis passed = MonotonicNow() - began;
  if (!is_unavailable(admitted) || passed > request.m_prompt_refusal) {
    co_return admitted;
  }
  // The owner has just stopped or started, and the next one in the order holds
  // its tokens.
  const std::string next =
      FindNextQuotaOwner(m_cluster, workspace.m_name, shard, owner, began);
  Status by_next = Fail(ResultCode::kPeerUnavailable, "there is no other VM");
  if (!next.empty()) {
    TokenRequest rest = request;
    rest.m_max_wait = std::max(rest.m_max_wait - passed, Millis());
    by_next = co_await AdmitAt(next, std::move(rest), workspace, cancellation);
  }
  if (!is_unavailable(by_next)) {
    CountMetric("bronzecross_rate_tokens_total", {{"way", "next_owner"}});
    co_return by_next;
  }
  if (!is_ready) {
    admitted =
        co_await AdmitAsOwner(std::move(request), workspace, cancellation);
  }
  co_return admitted;
}

Task<bool> QuotaManager::TakeFromOtherShard(TokenRequest request,
                                            Workspace workspace,
                                            AccountPtr account) {
  const Millis now = MonotonicNow();
  if (m_owner_client == nullptr || !m_share_active ||
      account->m_owned_shards == account->m_shard_count ||
      now < account->m_no_passing_until) {
    co_return false;
  }
  request.m_is_passed_on = true;
  request.m_wait_budget = Millis();
  request.m_max_wait = Millis();
  request.m_prompt_refusal = Millis();
  const int first =
      static_cast<int>(Hash64(request.m_request_id) %
                       static_cast<uint64_t>(account->m_shard_count));
  for (int i = 0; i < account->m_shard_count; ++i) {
    const std::string owner = FindQuotaOwner(
        m_cluster, workspace.m_name, (first + i) % account->m_shard_count, now);
    if (owner == m_cluster.Self().m_id) {
      continue;
    }
    // One call at most: the refusal must be prompt.
    const Status taken = co_await m_owner_client->RequestRateToken(
        owner, std::move(request), workspace.m_name);
    if (!taken) {
      const bool replied = taken.error().m_code == ResultCode::kRateLimited;
      account->m_no_passing_until =
          MonotonicNow() + (replied ? kNoTokenPause : kNoReplyPause);
    }
    co_return taken.has_value();
  }
  co_return false;
}

Status QuotaManager::RejectAsOwner(std::string_view request_id,
                                   const Account& account,
                                   const TokenWaiter& waiter,
                                   Millis now) const {
  const std::string_view cause = RefusalCause(waiter, m_share_active);
  CountMetric("bronzecross_rate_refusals_total", {{"cause", cause}});
  Error error;
  error.m_code = ResultCode::kRateLimited;
  error.m_message =
      Concat("workspace ", account.m_name, " is over its rate of ",
             account.m_rate_per_s, " per second");
  error.m_retry_after = waiter.m_retry_after;
  if (waiter.m_is_passed_on) {
    // The owner that passed it on logs the refusal.
    return tl::unexpected<Error>(error);
  }
  Log(Severity::kInfo, LogPart::kLimits, "No rate token.",
      {{"request", request_id},
       {"workspace", account.m_name},
       {"cause", cause},
       {"priority", waiter.m_priority},
       {"tokens", account.m_bucket.m_tokens},
       {"waiting", account.m_line.m_waiting.size()},
       {"reserved", account.m_line.m_returns.size()},
       {"share_per_s", Share(account, now).m_rate_per_s},
       {"members", m_cluster.CountMembers(now)},
       {"entitled", m_share_active ? "yes" : "no"},
       {"retry_after_ms", error.m_retry_after}});
  return tl::unexpected<Error>(error);
}

}  // namespace bronzecross
