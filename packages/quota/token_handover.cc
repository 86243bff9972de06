#include "quota/token_handover.h"

#include <algorithm>

#include "base/hash.h"
#include "base/log.h"
#include "base/metrics.h"
#include "quota/quota_manager.h"
#include "quota/quota_owner.h"

namespace bronzecross {

double TokensOfOneShard(double tokens, int owned) {
  return owned <= 0 ? 0 : std::max(tokens, 0.0) / owned;
}

double AddHandedTokens(double own,
                       double handed,
                       double rate_per_s,
                       Millis both_earned,
                       double capacity) {
  const double twice = rate_per_s * std::max(both_earned, Millis()).Seconds();
  return std::min(own + std::max(handed - twice, 0.0), capacity);
}

bool QuotaManager::IsOwnerReady(const Workspace& workspace) const {
  if (!HasMultipleGroups() || m_share_active ||
      m_cluster.ReplacesEarlierIncarnation()) {
    return !m_released;
  }
  const auto found = m_accounts.find(ShortHash(workspace.m_name));
  return found != m_accounts.end() &&
         CountHanded(*found->second, MonotonicNow()) > 0;
}

int QuotaManager::CountHanded(const Account& account, Millis now) {
  return static_cast<int>(std::count_if(
      account.m_handed.begin(), account.m_handed.end(),
      [now](const auto& entry) { return now < entry.second.m_valid_until; }));
}

bool QuotaManager::IsHeldByHandover(const Account& account,
                                    int shard,
                                    Millis now) const {
  const auto found = account.m_handed.find(shard);
  if (found == account.m_handed.end()) {
    return false;
  }
  const Account::Handed& handed = found->second;
  return handed.m_is_stopping && now < handed.m_valid_until &&
         m_cluster.IsAlive(handed.m_from, handed.m_from_incarnation, now) &&
         FindQuotaOwner(m_cluster, account.m_name, shard, now) == handed.m_from;
}

void QuotaManager::HandOver(Account& account,
                            int shard,
                            const std::string& receiver) {
  TokenHandover handover;
  handover.m_workspace = account.m_name;
  handover.m_shard = shard;
  handover.m_tokens = TokensOfOneShard(
      account.m_bucket.m_tokens, static_cast<int>(account.m_shards.size()));
  handover.m_from = m_cluster.Self().m_id;
  handover.m_from_incarnation = m_cluster.Self().m_incarnation;
  handover.m_is_stopping = m_released;
  account.m_bucket.m_tokens -= handover.m_tokens;
  const bool has_earned =
      m_share_active || CountHanded(account, MonotonicNow()) > 0;
  account.m_shards.erase(shard);
  account.m_handed.erase(shard);
  if (!has_earned || m_owner_client == nullptr ||
      receiver == m_cluster.Self().m_id) {
    return;
  }
  Log(Severity::kInfo, LogPart::kLimits, "Handing over rate tokens.",
      {{"workspace", account.m_name},
       {"shard", shard},
       {"tokens", handover.m_tokens},
       {"to", receiver}});
  CountMetric("bronzecross_rate_token_handovers_total", {{"way", "sent"}});
  Spawn(m_owner_client->HandOverTokens(receiver, std::move(handover)));
}

void QuotaManager::HandOverLostShards(Account& account,
                                      const std::set<int>& owned,
                                      Millis now) {
  Refill(account, now);
  const std::map<int, Millis> before = account.m_shards;
  for (const auto& [shard, since] : before) {
    if (!owned.contains(shard)) {
      HandOver(account, shard,
               FindQuotaOwner(m_cluster, account.m_name, shard, now));
    }
  }
}

void QuotaManager::HandOverAll(Millis now) {
  m_released = true;
  for (auto entry = m_accounts.begin(); entry != m_accounts.end(); ++entry) {
    Account& account = *entry->second;
    Refill(account, now);
    const std::map<int, Millis> shards = account.m_shards;
    for (const auto& [shard, since] : shards) {
      HandOver(account, shard,
               FindNextQuotaOwner(m_cluster, account.m_name, shard,
                                  m_cluster.Self().m_id, now));
    }
    account.m_owned_shards = 0;
  }
}

void QuotaManager::AcceptHandover(const TokenHandover& handover,
                                  const Workspace& workspace,
                                  Millis now) {
  const int shard_count = CountQuotaShards(workspace.m_rate_per_s);
  if (!HasMultipleGroups() || m_released || handover.m_shard < 0 ||
      handover.m_shard >= shard_count || !(handover.m_tokens >= 0)) {
    return;
  }
  const AccountPtr account = GetOrCreateAccount(workspace, now);
  const auto owned = account->m_shards.find(handover.m_shard);
  const Millis both_earned = owned != account->m_shards.end() && m_share_active
                                 ? now - std::max(owned->second, m_earns_from)
                                 : Millis();
  account->m_handed[handover.m_shard] = {
      handover.m_from, handover.m_from_incarnation, handover.m_is_stopping,
      now + kHandoverValidity};
  account->m_shards.emplace(handover.m_shard, now);
  account->m_owned_shards = static_cast<int>(account->m_shards.size());
  account->m_shard_count = shard_count;
  const TokenShare share = Share(*account, now);
  account->m_bucket.m_tokens =
      AddHandedTokens(account->m_bucket.m_tokens, handover.m_tokens,
                      share.m_rate_per_s / account->m_owned_shards, both_earned,
                      share.m_capacity);
  account->m_bucket.m_refilled = std::max(account->m_bucket.m_refilled, now);
  CountMetric("bronzecross_rate_token_handovers_total", {{"way", "received"}});
  Log(Severity::kInfo, LogPart::kLimits, "Received rate tokens.",
      {{"workspace", account->m_name},
       {"shard", handover.m_shard},
       {"tokens", handover.m_tokens},
       {"from", handover.m_from}});
  SettleAccount(*account, now);
}

}  // namespace bronzecross
