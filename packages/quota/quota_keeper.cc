#include "quota/quota_keeper.h"

#include <algorithm>

#include "base/log.h"
#include "base/text.h"
#include "quota/token_sharing.h"

namespace bronzecross {
namespace {

// A grant for news this many sequences back may be a delayed copy.
constexpr uint64_t kGrantWindow = 12;

}  // namespace

void QuotaKeeper::Refill(Account& account, Millis now) {
  const TokenShare share = ShareOf(account.m_rate_per_s, account.m_burst,
                                   m_cluster.CountMembers(now), m_entitled);
  bronzecross::Refill(account.m_bucket, share.m_rate_per_s, share.m_capacity,
                      now);
}

QuotaKeeper::Account& QuotaKeeper::Refilled(const Workspace& workspace,
                                            Millis now) {
  Account& account = m_accounts[ShortHash(workspace.m_name)];
  if (account.m_name.empty()) {
    account.m_name = workspace.m_name;
    account.m_bucket.m_refilled = now;
  }
  account.m_rate_per_s = workspace.m_rate_per_s;
  account.m_burst = workspace.m_burst;
  Refill(account, now);
  return account;
}

Status QuotaKeeper::Admit(const Workspace& workspace, Millis now) {
  if (workspace.m_rate_per_s <= 0) {
    return {};
  }
  Account& account = Refilled(workspace, now);
  if (TakeTokens(account.m_bucket, 1)) {
    return {};
  }
  Error error;
  error.m_code = ResultCode::kRateLimited;
  error.m_message =
      Concat("workspace ", workspace.m_name, " is over its rate of ",
             workspace.m_rate_per_s, " per second");
  error.m_retry_after = TimeUntil(account.m_bucket, workspace.m_rate_per_s, 1);
  return tl::unexpected<Error>(error);
}

void QuotaKeeper::SetEntitled(bool entitled, Millis now) {
  if (entitled == m_entitled) {
    return;
  }
  for (auto entry = m_accounts.begin(); entry != m_accounts.end(); ++entry) {
    Refill(entry->second, now);
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
    Account& account = Refilled(workspace, now);
    std::vector<PeerLevel> levels;
    for (auto entry = m_cluster.Peers().begin();
         entry != m_cluster.Peers().end(); ++entry) {
      const PeerVm& peer = entry->second;
      if (peer.m_heard == Millis() || now - peer.m_heard > kFreshNews) {
        continue;
      }
      for (const TokenLevel& level : peer.m_news.m_levels) {
        if (level.m_workspace == id) {
          levels.push_back({ShortHash(entry->first), level.m_tokens});
        }
      }
    }
    const double capacity = ShareOf(account.m_rate_per_s, account.m_burst,
                                    m_cluster.CountMembers(now), m_entitled)
                                .m_capacity;
    for (const PlannedGrant& grant :
         PlanGrants(account.m_bucket.m_tokens, capacity, levels)) {
      TakeTokens(account.m_bucket, grant.m_tokens);
      uint64_t seen = 0;
      for (auto entry = m_cluster.Peers().begin();
           entry != m_cluster.Peers().end(); ++entry) {
        if (ShortHash(entry->first) == grant.m_receiver) {
          seen = entry->second.m_news.m_sequence;
        }
      }
      news.m_grants.push_back({grant.m_receiver, id, grant.m_tokens, seen});
    }
    news.m_levels.push_back({id, account.m_bucket.m_tokens});
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
    Account& account = found->second;
    Refill(account, now);
    const double capacity = ShareOf(account.m_rate_per_s, account.m_burst,
                                    m_cluster.CountMembers(now), m_entitled)
                                .m_capacity;
    account.m_bucket.m_tokens =
        std::min(capacity, account.m_bucket.m_tokens + grant.m_tokens);
  }
}

}  // namespace bronzecross
