#include "quota/quota_manager.h"

#include <algorithm>

#include "aio/wait.h"
#include "base/hash.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/text.h"
#include "quota/quota_owner.h"

namespace bronzecross {
namespace {

// Maximum age, in sequence numbers, of the gossip message that a grant responds
// to. An older grant may be a delayed duplicate and is ignored.
constexpr uint64_t kMaxGrantSequenceLag = 12;

// Interval at which a VM of a fleet of several VM groups determines which quota
// shards it owns.
constexpr Millis kOwnershipCheckInterval{500};

// Retry-after time for a caller whose quota owner is unreachable. Another VM
// becomes the owner once the registration of the lost one has ended.
constexpr Millis kRetryAfterOwnerUnreachable{700};

// Time from the start of a VM within which its share becomes active, unless it
// reaches neither the store nor a majority of the VMs.
constexpr Millis kMaxShareActivationTime{1'500};

// Typical time until the share becomes active if the other VMs must count this
// VM as a member first.
constexpr Millis kTypicalShareActivationTime{1'000};

// Expected time until the tokens of another VM arrive.
constexpr Millis kGrantLatency{35};

}  // namespace

TokenShare QuotaManager::Share(const Account& account, Millis now) const {
  if (HasMultipleGroups()) {
    const int shards =
        m_share_active ? account.m_owned_shards : CountHanded(account, now);
    const double part = static_cast<double>(shards) / account.m_shard_count;
    return ShareOf(account.m_rate_per_s * part, account.m_burst * part, 1,
                   shards > 0);
  }
  return ShareOf(account.m_rate_per_s, account.m_burst,
                 m_cluster.CountMembers(now), m_share_active);
}

void QuotaManager::Refill(Account& account, Millis now) {
  // SetShareActive() sets the time from which tokens accrue when the share
  // becomes active for the first time.
  if (!m_share_was_active && account.m_handed.empty()) {
    return;
  }
  const TokenShare share = Share(account, now);
  const Millis passed = std::max(now - account.m_bucket.m_refilled, Millis());
  account.m_pending_retries = std::max(
      account.m_pending_retries - share.m_rate_per_s * passed.Seconds(), 0.0);
  bronzecross::Refill(account.m_bucket, share.m_rate_per_s, share.m_capacity,
                      now);
}

QuotaManager::AccountPtr QuotaManager::GetOrCreateAccount(
    const Workspace& workspace,
    Millis now) {
  AccountPtr& account = m_accounts[ShortHash(workspace.m_name)];
  if (account == nullptr) {
    account = std::make_shared<Account>();
    account->m_name = workspace.m_name;
    account->m_bucket.m_refilled = now;
  }
  account->m_rate_per_s = workspace.m_rate_per_s;
  account->m_burst = workspace.m_burst;
  Refill(*account, now);
  return account;
}

void QuotaManager::RefreshOwnedAccounts(const FleetConfig& config, Millis now) {
  if (now < m_next_ownership_check) {
    return;
  }
  m_next_ownership_check = now + kOwnershipCheckInterval;
  for (const Workspace& workspace : config.m_workspaces) {
    RefreshOwnedAccount(workspace, now);
  }
}

QuotaManager::AccountPtr QuotaManager::RefreshOwnedAccount(
    const Workspace& workspace,
    Millis now) {
  const int shard_count = CountQuotaShards(workspace.m_rate_per_s);
  const auto found = m_accounts.find(ShortHash(workspace.m_name));
  std::set<int> owned;
  for (int i = 0; i < shard_count && workspace.m_rate_per_s > 0; ++i) {
    const bool is_held =
        found != m_accounts.end() && IsHeldByHandover(*found->second, i, now);
    if (!m_released &&
        (is_held || FindQuotaOwner(m_cluster, workspace.m_name, i, now) ==
                        m_cluster.Self().m_id)) {
      owned.insert(i);
    }
  }
  if (found != m_accounts.end()) {
    HandOverLostShards(*found->second, owned, now);
  }
  if (owned.empty()) {
    if (found != m_accounts.end()) {
      // Requests that still wait get no more tokens: the new owner grants them.
      found->second->m_owned_shards = 0;
      m_accounts.erase(found);
    }
    return nullptr;
  }
  AccountPtr account = GetOrCreateAccount(workspace, now);
  std::erase_if(account->m_handed, [now](const auto& entry) {
    return now >= entry.second.m_valid_until;
  });
  for (const int shard : owned) {
    account->m_shards.emplace(shard, now);
  }
  account->m_owned_shards = static_cast<int>(owned.size());
  account->m_shard_count = shard_count;
  return account;
}

bool QuotaManager::IsAwaitingShare(Millis now) const {
  return !m_share_was_active && now - m_created < kMaxShareActivationTime;
}

Task<> QuotaManager::WaitForShare(Millis until) {
  while (IsAwaitingShare(MonotonicNow()) && MonotonicNow() < until) {
    WaitAny wait(until);
    wait.Add(m_share_active_changed);
    co_await wait;
  }
}

void QuotaManager::ForEachLevel(
    Millis now,
    absl::FunctionRef<void(uint32_t, const PeerLevel&)> visit) const {
  for (auto entry = m_cluster.Peers().begin(); entry != m_cluster.Peers().end();
       ++entry) {
    const PeerVm& peer = entry->second;
    if (!IsRecentlySeen(peer, now, kMaxGossipAge)) {
      continue;
    }
    const uint32_t id = ShortHash(entry->first);
    for (const TokenLevel& level : peer.m_gossip.m_levels) {
      visit(level.m_workspace,
            {id, peer.m_gossip.m_sequence, level.m_tokens, level.m_demand});
    }
  }
}

absl::flat_hash_map<uint32_t, std::vector<PeerLevel>> QuotaManager::AllLevels(
    Millis now) const {
  absl::flat_hash_map<uint32_t, std::vector<PeerLevel>> levels;
  ForEachLevel(now, [&levels](uint32_t workspace, const PeerLevel& level) {
    levels[workspace].push_back(level);
  });
  return levels;
}

double QuotaManager::SumPeerTokens(uint32_t workspace, Millis now) const {
  double tokens = 0;
  ForEachLevel(now, [&](uint32_t id, const PeerLevel& level) {
    tokens += id == workspace ? level.m_tokens : 0;
  });
  return tokens;
}

Millis QuotaManager::NextTokenTime(const Account& account,
                                   uint32_t id,
                                   Millis now) const {
  if (SumPeerTokens(id, now) >= 1 + account.m_waiting) {
    return now + kGrantLatency;
  }
  const TokenShare share = Share(account, now);
  if (share.m_rate_per_s <= 0) {
    return kNever;
  }
  const double missing = 1 + account.m_waiting - account.m_bucket.m_tokens;
  return now +
         Millis(static_cast<int64_t>(missing * 1000 / share.m_rate_per_s));
}

Millis QuotaManager::RetryAfter(const Account& account, Millis now) const {
  if (!IsAwaitingShare(now)) {
    return RetryAfterRejection(Share(account, now), account.m_bucket.m_tokens,
                               account.m_pending_retries);
  }
  // The callers that retry find only the tokens that accrue once the share is
  // active.
  const Millis active_in =
      std::max(m_created + kTypicalShareActivationTime - now, Millis());
  const TokenShare share = ShareOf(account.m_rate_per_s, account.m_burst,
                                   m_cluster.CountMembers(now), true);
  return std::min(
      active_in + RetryAfterRejection(share, 0, account.m_pending_retries),
      kMaxTokenRetryAfter);
}

Status QuotaManager::Reject(std::string_view request_id,
                            Account& account,
                            uint32_t id,
                            Millis now) {
  Error error;
  error.m_code = ResultCode::kRateLimited;
  error.m_message =
      Concat("workspace ", account.m_name, " is over its rate of ",
             account.m_rate_per_s, " per second");
  error.m_retry_after = RetryAfter(account, now);
  account.m_pending_retries += 1;
  Log(Severity::kInfo, LogPart::kLimits, "No rate token.",
      {{"request", request_id},
       {"workspace", account.m_name},
       {"tokens", account.m_bucket.m_tokens},
       {"waiting", account.m_waiting},
       {"elsewhere", SumPeerTokens(id, now)},
       {"share_per_s", Share(account, now).m_rate_per_s},
       {"members", m_cluster.CountMembers(now)},
       {"entitled", m_share_active ? "yes" : "no"},
       {"retry_after_ms", error.m_retry_after}});
  return tl::unexpected<Error>(error);
}

Task<Status> QuotaManager::Admit(TokenRequest request,
                                 const Workspace& workspace,
                                 Cancellation& cancellation) {
  if (workspace.m_rate_per_s <= 0) {
    co_return Status();
  }
  const std::string request_id = request.m_request_id;
  const std::optional<Millis> time_left = request.m_time_left;
  const std::string& self = m_cluster.Self().m_id;
  const int shard_count = CountQuotaShards(workspace.m_rate_per_s);
  const int shard =
      static_cast<int>(Hash64(self) % static_cast<uint64_t>(shard_count));
  Status admitted;
  if (HasMultipleGroups()) {
    admitted = co_await AdmitAtOwner(std::move(request), workspace, shard,
                                     cancellation);
  } else {
    admitted = co_await AdmitHere(request_id, workspace, request.m_wait_budget,
                                  cancellation);
  }
  if (!admitted && admitted.error().m_code != ResultCode::kRateLimited) {
    Log(Severity::kWarning, LogPart::kLimits,
        "Cannot get a rate token from the quota owner.",
        {{"request", request_id},
         {"workspace", workspace.m_name},
         {"home",
          FindQuotaOwner(m_cluster, workspace.m_name, shard, MonotonicNow())},
         {"reason", admitted.error().m_message}});
    CountMetric("bronzecross_rate_refusals_total",
                {{"cause", "owner_unreachable"}});
    Error error;
    error.m_code = ResultCode::kRateLimited;
    error.m_message = "the quota owner of the workspace is unreachable";
    error.m_retry_after =
        std::min(kRetryAfterOwnerUnreachable, LongestRetryAfter(time_left));
    co_return tl::unexpected<Error>(error);
  }
  co_return admitted;
}

Task<Status> QuotaManager::AdmitForPeer(std::string request_id,
                                        const Workspace& workspace,
                                        Millis wait_budget,
                                        Cancellation& cancellation) {
  TokenRequest request;
  request.m_request_id = std::move(request_id);
  request.m_wait_budget = wait_budget;
  request.m_max_wait = wait_budget;
  request.m_prompt_refusal = wait_budget;
  Status admitted =
      co_await AdmitForPeer(std::move(request), workspace, cancellation);
  co_return admitted;
}

Task<Status> QuotaManager::AdmitForPeer(TokenRequest request,
                                        const Workspace& workspace,
                                        Cancellation& cancellation) {
  Status admitted;
  if (HasMultipleGroups()) {
    admitted =
        co_await AdmitAsOwner(std::move(request), workspace, cancellation);
    co_return admitted;
  }
  // The other VMs may count several VM groups before this VM does.
  if (!m_accounts.contains(ShortHash(workspace.m_name))) {
    co_return Fail(ResultCode::kPeerUnavailable,
                   "this VM is not the workspace's quota owner");
  }
  admitted = co_await AdmitHere(std::move(request.m_request_id), workspace,
                                request.m_wait_budget, cancellation);
  co_return admitted;
}

Task<Status> QuotaManager::AdmitHere(std::string request_id,
                                     const Workspace& workspace,
                                     Millis wait_budget,
                                     Cancellation& cancellation) {
  const uint32_t id = ShortHash(workspace.m_name);
  const Millis until = MonotonicNow() + wait_budget;
  co_await WaitForShare(until);
  const AccountPtr account_ptr = GetOrCreateAccount(workspace, MonotonicNow());
  Account& account = *account_ptr;
  account.m_requests += 1;
  if (account.m_waiting == 0 && TakeTokens(account.m_bucket, 1)) {
    co_return Status();
  }
  if (NextTokenTime(account, id, MonotonicNow()) > until) {
    co_return Reject(request_id, account, id, MonotonicNow());
  }
  ++account.m_waiting;
  m_send_gossip();
  bool taken = false;
  while (!taken && !cancellation.IsCancelled() && MonotonicNow() < until) {
    WaitAny wait(
        std::min(until, std::max(NextTokenTime(account, id, MonotonicNow()),
                                 MonotonicNow() + Millis(5))));
    wait.Add(account.m_tokens_added);
    wait.Add(cancellation.Changed());
    co_await wait;
    Refill(account, MonotonicNow());
    taken = TakeTokens(account.m_bucket, 1);
  }
  --account.m_waiting;
  if (!taken) {
    co_return Reject(request_id, account, id, MonotonicNow());
  }
  co_return Status();
}

void QuotaManager::SetShareActive(bool is_active, Millis now) {
  if (is_active == m_share_active) {
    return;
  }
  // The other VMs kept counting a VM that replaces its earlier incarnation, and
  // that incarnation used no tokens after this process started.
  const Millis refill_from =
      m_cluster.ReplacesEarlierIncarnation() ? std::min(m_created, now) : now;
  for (auto entry = m_accounts.begin(); entry != m_accounts.end(); ++entry) {
    if (!m_share_was_active && entry->second->m_handed.empty()) {
      entry->second->m_bucket.m_refilled = refill_from;
      for (auto shard = entry->second->m_shards.begin();
           shard != entry->second->m_shards.end(); ++shard) {
        shard->second = refill_from;
      }
    }
    Refill(*entry->second, now);
  }
  m_share_active = is_active;
  m_earns_from = m_share_was_active ? now : refill_from;
  m_share_was_active = m_share_was_active || is_active;
  m_share_active_changed.NotifyAll();
  if (HasMultipleGroups()) {
    // Tokens may accrue earlier or later than the line expected.
    for (auto entry = m_accounts.begin(); entry != m_accounts.end(); ++entry) {
      SettleAccount(*entry->second, now);
    }
  }
  Log(is_active ? Severity::kInfo : Severity::kWarning, LogPart::kLimits,
      is_active ? "Using this VM's share of the limits."
                : "Not using this VM's share of the limits.",
      {{"members", m_cluster.CountMembers(now)},
       {"heard", m_cluster.CountRecentlySeen(now)}});
}

void QuotaManager::AddToGossip(const FleetConfig& config,
                               GossipMessage& gossip,
                               Millis now) {
  if (HasMultipleGroups()) {
    RefreshOwnedAccounts(config, now);
    return;
  }
  absl::flat_hash_map<uint32_t, std::vector<PeerLevel>> levels = AllLevels(now);
  for (const Workspace& workspace : config.m_workspaces) {
    if (workspace.m_rate_per_s <= 0) {
      continue;
    }
    const uint32_t id = ShortHash(workspace.m_name);
    const AccountPtr account_ptr = GetOrCreateAccount(workspace, now);
    Account& account = *account_ptr;
    const double capacity = Share(account, now).m_capacity;
    account.m_demand = ExpectedDemand(account.m_demand, account.m_requests);
    account.m_requests = 0;
    const double own = account.m_bucket.m_tokens - account.m_waiting;
    for (const PlannedGrant& grant :
         PlanGrants(own, account.m_demand, capacity, levels[id])) {
      TakeTokens(account.m_bucket, grant.m_tokens);
      gossip.m_grants.push_back({grant.m_receiver.m_vm, id, grant.m_tokens,
                                 grant.m_receiver.m_sequence});
    }
    gossip.m_levels.push_back(
        {id, account.m_bucket.m_tokens - account.m_waiting, account.m_demand});
  }
}

void QuotaManager::OnGossip(const GossipMessage& gossip,
                            uint64_t own_sequence,
                            Millis now) {
  const uint32_t self = ShortHash(m_cluster.Self().m_id);
  for (const TokenGrant& grant : gossip.m_grants) {
    if (grant.m_receiver != self ||
        grant.m_seen_sequence + kMaxGrantSequenceLag < own_sequence ||
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
  // A negative level means that requests wait at the sender: gossip at once if
  // this VM has tokens to grant.
  for (const TokenLevel& level : gossip.m_levels) {
    const auto found = m_accounts.find(level.m_workspace);
    if (level.m_tokens < 0 && found != m_accounts.end() &&
        found->second->m_waiting == 0 &&
        found->second->m_bucket.m_tokens >= 1) {
      m_send_gossip();
      return;
    }
  }
}

}  // namespace bronzecross
