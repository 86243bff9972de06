#include "quota/quota_keeper.h"

#include <algorithm>

#include "aio/wait.h"
#include "base/log.h"
#include "base/text.h"

namespace bronzecross {
namespace {

// A grant for news this many sequences back may be a delayed copy.
constexpr uint64_t kGrantWindow = 12;

// How long it takes until another VM's tokens arrive.
constexpr Millis kGrantTime{35};

}  // namespace

TokenShare QuotaKeeper::Share(const Account& account, Millis now) const {
  return ShareOf(account.m_rate_per_s, account.m_burst,
                 m_cluster.CountMembers(now), m_entitled);
}

void QuotaKeeper::Refill(Account& account, Millis now) {
  const TokenShare share = Share(account, now);
  const Millis passed = std::max(now - account.m_bucket.m_refilled, Millis());
  account.m_promised =
      std::max(account.m_promised - share.m_rate_per_s * passed.Seconds(), 0.0);
  bronzecross::Refill(account.m_bucket, share.m_rate_per_s, share.m_capacity,
                      now);
}

QuotaKeeper::Account& QuotaKeeper::AccountOf(const Workspace& workspace,
                                             Millis now) {
  std::unique_ptr<Account>& account = m_accounts[ShortHash(workspace.m_name)];
  if (account == nullptr) {
    account = std::make_unique<Account>();
    account->m_name = workspace.m_name;
    account->m_bucket.m_refilled = now;
  }
  account->m_rate_per_s = workspace.m_rate_per_s;
  account->m_burst = workspace.m_burst;
  Refill(*account, now);
  return *account;
}

std::vector<PeerLevel> QuotaKeeper::LevelsOf(uint32_t workspace,
                                             Millis now) const {
  std::vector<PeerLevel> levels;
  for (auto entry = m_cluster.Peers().begin(); entry != m_cluster.Peers().end();
       ++entry) {
    const PeerVm& peer = entry->second;
    if (peer.m_heard == Millis() || now - peer.m_heard > kFreshNews) {
      continue;
    }
    for (const TokenLevel& level : peer.m_news.m_levels) {
      if (level.m_workspace == workspace) {
        levels.push_back(
            {ShortHash(entry->first), peer.m_news.m_sequence, level.m_tokens});
      }
    }
  }
  return levels;
}

double QuotaKeeper::TokensElsewhere(uint32_t workspace, Millis now) const {
  double tokens = 0;
  for (const PeerLevel& level : LevelsOf(workspace, now)) {
    tokens += level.m_tokens;
  }
  return tokens;
}

Millis QuotaKeeper::NextToken(const Account& account,
                              uint32_t id,
                              Millis now) const {
  if (TokensElsewhere(id, now) >= 1 + account.m_waiting) {
    return now + kGrantTime;
  }
  const TokenShare share = Share(account, now);
  if (share.m_rate_per_s <= 0) {
    return kNever;
  }
  const double missing = 1 + account.m_waiting - account.m_bucket.m_tokens;
  return now +
         Millis(static_cast<int64_t>(missing * 1000 / share.m_rate_per_s));
}

Status QuotaKeeper::Refuse(std::string_view request_id,
                           Account& account,
                           uint32_t id,
                           Millis now) {
  Error error;
  error.m_code = ResultCode::kRateLimited;
  error.m_message =
      Concat("workspace ", account.m_name, " is over its rate of ",
             account.m_rate_per_s, " per second");
  error.m_retry_after = RetryAfterRefusal(
      Share(account, now), account.m_bucket.m_tokens, account.m_promised);
  account.m_promised += 1;
  Log(Severity::kInfo, LogPart::kLimits, "No rate token.",
      {{"request", request_id},
       {"workspace", account.m_name},
       {"tokens", account.m_bucket.m_tokens},
       {"waiting", account.m_waiting},
       {"elsewhere", TokensElsewhere(id, now)},
       {"share_per_s", Share(account, now).m_rate_per_s},
       {"members", m_cluster.CountMembers(now)},
       {"entitled", m_entitled ? "yes" : "no"},
       {"retry_after_ms", error.m_retry_after}});
  return tl::unexpected<Error>(error);
}

Task<Status> QuotaKeeper::Admit(std::string request_id,
                                const Workspace& workspace,
                                Millis patience,
                                Cancellation& cancellation) {
  if (workspace.m_rate_per_s <= 0) {
    co_return Status();
  }
  const uint32_t id = ShortHash(workspace.m_name);
  const Millis until = MonotonicNow() + patience;
  Account& account = AccountOf(workspace, MonotonicNow());
  account.m_asked += 1;
  if (account.m_waiting == 0 && TakeTokens(account.m_bucket, 1)) {
    co_return Status();
  }
  if (NextToken(account, id, MonotonicNow()) > until) {
    co_return Refuse(request_id, account, id, MonotonicNow());
  }
  ++account.m_waiting;
  m_send_news();
  bool taken = false;
  while (!taken && !cancellation.IsCancelled() && MonotonicNow() < until) {
    WaitAny wait(
        std::min(until, std::max(NextToken(account, id, MonotonicNow()),
                                 MonotonicNow() + Millis(5))));
    wait.Add(account.m_tokens_added);
    wait.Add(cancellation.Changed());
    co_await wait;
    Refill(account, MonotonicNow());
    taken = TakeTokens(account.m_bucket, 1);
  }
  --account.m_waiting;
  if (!taken) {
    co_return Refuse(request_id, account, id, MonotonicNow());
  }
  co_return Status();
}

void QuotaKeeper::SetEntitled(bool entitled, Millis now) {
  if (entitled == m_entitled) {
    return;
  }
  for (auto entry = m_accounts.begin(); entry != m_accounts.end(); ++entry) {
    Refill(*entry->second, now);
  }
  m_entitled = entitled;
  Log(entitled ? Severity::kInfo : Severity::kWarning, LogPart::kLimits,
      entitled ? "Using this VM's share of the limits."
               : "Not using this VM's share of the limits.",
      {{"members", m_cluster.CountMembers(now)},
       {"heard", m_cluster.CountHeard(now)}});
}

void QuotaKeeper::AddToNews(const FleetConfig& config,
                            PeerNews& news,
                            Millis now) {
  for (const Workspace& workspace : config.m_workspaces) {
    if (workspace.m_rate_per_s <= 0) {
      continue;
    }
    const uint32_t id = ShortHash(workspace.m_name);
    Account& account = AccountOf(workspace, now);
    const double capacity = Share(account, now).m_capacity;
    account.m_demand = ExpectedDemand(account.m_demand, account.m_asked);
    account.m_asked = 0;
    const double own = account.m_bucket.m_tokens - account.m_waiting;
    for (const PlannedGrant& grant :
         PlanGrants(own, account.m_demand, capacity, LevelsOf(id, now))) {
      TakeTokens(account.m_bucket, grant.m_tokens);
      news.m_grants.push_back({grant.m_receiver.m_vm, id, grant.m_tokens,
                               grant.m_receiver.m_sequence});
    }
    news.m_levels.push_back(
        {id, account.m_bucket.m_tokens - account.m_waiting, account.m_demand});
  }
}

void QuotaKeeper::OnNews(const PeerNews& news,
                         uint64_t own_sequence,
                         Millis now) {
  const uint32_t self = ShortHash(m_cluster.Self().m_id);
  for (const TokenGrant& grant : news.m_grants) {
    if (grant.m_receiver != self ||
        grant.m_seen_sequence + kGrantWindow < own_sequence ||
        grant.m_seen_sequence > own_sequence || grant.m_tokens < 0) {
      continue;
    }
    const auto found = m_accounts.find(grant.m_workspace);
    if (found == m_accounts.end()) {
      continue;
    }
    Account& account = *found->second;
    Refill(account, now);
    const double capacity = Share(account, now).m_capacity + account.m_waiting;
    account.m_bucket.m_tokens =
        std::min(capacity, account.m_bucket.m_tokens + grant.m_tokens);
    account.m_tokens_added.NotifyAll();
  }
  // Requests wait at the sender for tokens that this VM has.
  for (const TokenLevel& level : news.m_levels) {
    const auto found = m_accounts.find(level.m_workspace);
    if (level.m_tokens < 0 && found != m_accounts.end() &&
        found->second->m_waiting == 0 &&
        found->second->m_bucket.m_tokens >= 1) {
      m_send_news();
      return;
    }
  }
}

}  // namespace bronzecross
