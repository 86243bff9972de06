#include "quota/quota_manager.h"

#include <algorithm>

#include "aio/wait.h"
#include "base/hash.h"
#include "base/log.h"
#include "base/text.h"
#include "quota/quota_owner.h"

namespace bronzecross {
namespace {

// A grant for news this many sequences back may be a delayed copy.
constexpr uint64_t kGrantWindow = 12;

// How often a VM of a divided fleet finds out whose tokens it keeps.
constexpr Millis kHomeCheckInterval{500};

// Advice to a caller whose workspace's home can't be asked. Another VM is the
// home once the registration of the lost one has ended.
constexpr Millis kRetryWithoutHome{700};

// A VM uses its share so soon after its start, unless it reaches neither the
// store nor most others.
constexpr Millis kSettleTime{1'500};

// How long that usually takes where the others must first count the VM.
constexpr Millis kUsualSettleTime{1'000};

// How long it takes until another VM's tokens arrive.
constexpr Millis kGrantTime{35};

}  // namespace

TokenShare QuotaKeeper::Share(const Account& account, Millis now) const {
  if (IsDivided()) {
    const double part = static_cast<double>(account.m_parts) / account.m_homes;
    return ShareOf(account.m_rate_per_s * part, account.m_burst * part, 1,
                   m_entitled && account.m_parts > 0);
  }
  return ShareOf(account.m_rate_per_s, account.m_burst,
                 m_cluster.CountMembers(now), m_entitled);
}

void QuotaKeeper::Refill(Account& account, Millis now) {
  // What was earned until then is decided with the first right to the share.
  if (!m_was_entitled) {
    return;
  }
  const TokenShare share = Share(account, now);
  const Millis passed = std::max(now - account.m_bucket.m_refilled, Millis());
  account.m_promised =
      std::max(account.m_promised - share.m_rate_per_s * passed.Seconds(), 0.0);
  bronzecross::Refill(account.m_bucket, share.m_rate_per_s, share.m_capacity,
                      now);
}

QuotaKeeper::AccountPtr QuotaKeeper::AccountOf(const Workspace& workspace,
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

void QuotaKeeper::RefreshHomes(const FleetConfig& config, Millis now) {
  if (now < m_next_home_check) {
    return;
  }
  m_next_home_check = now + kHomeCheckInterval;
  for (const Workspace& workspace : config.m_workspaces) {
    RefreshHome(workspace, now);
  }
}

QuotaKeeper::AccountPtr QuotaKeeper::RefreshHome(const Workspace& workspace,
                                                 Millis now) {
  const int homes = CountHomes(workspace.m_rate_per_s);
  int parts = 0;
  for (int i = 0; i < homes && workspace.m_rate_per_s > 0; ++i) {
    parts +=
        FindHome(m_cluster, workspace.m_name, i, now) == m_cluster.Self().m_id
            ? 1
            : 0;
  }
  if (parts == 0) {
    m_accounts.erase(ShortHash(workspace.m_name));
    return nullptr;
  }
  AccountPtr account = AccountOf(workspace, now);
  account->m_parts = parts;
  account->m_homes = homes;
  return account;
}

bool QuotaKeeper::IsSettling(Millis now) const {
  return !m_was_entitled && now - m_created < kSettleTime;
}

Task<> QuotaKeeper::WaitUntilSettled(Millis until) {
  while (IsSettling(MonotonicNow()) && MonotonicNow() < until) {
    WaitAny wait(until);
    wait.Add(m_entitled_changed);
    co_await wait;
  }
}

void QuotaKeeper::ForEachLevel(
    Millis now,
    absl::FunctionRef<void(uint32_t, const PeerLevel&)> visit) const {
  for (auto entry = m_cluster.Peers().begin(); entry != m_cluster.Peers().end();
       ++entry) {
    const PeerVm& peer = entry->second;
    if (!IsHeard(peer, now, kFreshNews)) {
      continue;
    }
    const uint32_t id = ShortHash(entry->first);
    for (const TokenLevel& level : peer.m_news.m_levels) {
      visit(level.m_workspace,
            {id, peer.m_news.m_sequence, level.m_tokens, level.m_demand});
    }
  }
}

absl::flat_hash_map<uint32_t, std::vector<PeerLevel>> QuotaKeeper::AllLevels(
    Millis now) const {
  absl::flat_hash_map<uint32_t, std::vector<PeerLevel>> levels;
  ForEachLevel(now, [&levels](uint32_t workspace, const PeerLevel& level) {
    levels[workspace].push_back(level);
  });
  return levels;
}

double QuotaKeeper::TokensElsewhere(uint32_t workspace, Millis now) const {
  double tokens = 0;
  ForEachLevel(now, [&](uint32_t told, const PeerLevel& level) {
    tokens += told == workspace ? level.m_tokens : 0;
  });
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

Millis QuotaKeeper::NextChance(const Account& account, Millis now) const {
  if (!IsSettling(now)) {
    return RetryAfterRefusal(Share(account, now), account.m_bucket.m_tokens,
                             account.m_promised);
  }
  // The callers that come back find no tokens but those earned from then on.
  const Millis settled_in =
      std::max(m_created + kUsualSettleTime - now, Millis());
  const TokenShare share = ShareOf(account.m_rate_per_s, account.m_burst,
                                   m_cluster.CountMembers(now), true);
  return std::min(settled_in + RetryAfterRefusal(share, 0, account.m_promised),
                  kLongestTokenRetry);
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
  error.m_retry_after = NextChance(account, now);
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
  const std::string& self = m_cluster.Self().m_id;
  std::string home = self;
  if (IsDivided() && m_calls != nullptr) {
    const int homes = CountHomes(workspace.m_rate_per_s);
    const int index =
        static_cast<int>(Hash64(self) % static_cast<uint64_t>(homes));
    home = FindHome(m_cluster, workspace.m_name, index, MonotonicNow());
  }
  Status admitted;
  if (home == self) {
    admitted =
        co_await AdmitHere(request_id, workspace, patience, cancellation);
  } else {
    admitted = co_await m_calls->AskForToken(home, request_id, workspace.m_name,
                                             patience);
  }
  if (!admitted && admitted.error().m_code != ResultCode::kRateLimited) {
    Log(Severity::kWarning, LogPart::kLimits, "No answer about a rate token.",
        {{"request", request_id},
         {"workspace", workspace.m_name},
         {"home", home},
         {"reason", admitted.error().m_message}});
    Error error;
    error.m_code = ResultCode::kRateLimited;
    error.m_message = "the VM that keeps the workspace's limit can't be asked";
    error.m_retry_after = kRetryWithoutHome;
    co_return tl::unexpected<Error>(error);
  }
  co_return admitted;
}

Task<Status> QuotaKeeper::AdmitForPeer(std::string request_id,
                                       const Workspace& workspace,
                                       Millis patience,
                                       Cancellation& cancellation) {
  // The others may know sooner than this VM that it is the home.
  if (!m_accounts.contains(ShortHash(workspace.m_name)) &&
      (!IsDivided() || RefreshHome(workspace, MonotonicNow()) == nullptr)) {
    co_return Fail(ResultCode::kPeerUnavailable,
                   "the workspace's limit isn't kept here");
  }
  Status admitted =
      co_await AdmitHere(request_id, workspace, patience, cancellation);
  co_return admitted;
}

Task<Status> QuotaKeeper::AdmitHere(std::string request_id,
                                    const Workspace& workspace,
                                    Millis patience,
                                    Cancellation& cancellation) {
  const uint32_t id = ShortHash(workspace.m_name);
  const Millis until = MonotonicNow() + patience;
  co_await WaitUntilSettled(until);
  const AccountPtr kept = AccountOf(workspace, MonotonicNow());
  Account& account = *kept;
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
  // The others have counted a VM that replaces its earlier incarnation all the
  // time, and that one used nothing after this process began.
  const Millis earns_from =
      m_cluster.ReplacesEarlierSelf() ? std::min(m_created, now) : now;
  for (auto entry = m_accounts.begin(); entry != m_accounts.end(); ++entry) {
    if (!m_was_entitled) {
      entry->second->m_bucket.m_refilled = earns_from;
    }
    Refill(*entry->second, now);
  }
  m_entitled = entitled;
  m_was_entitled = m_was_entitled || entitled;
  m_entitled_changed.NotifyAll();
  Log(entitled ? Severity::kInfo : Severity::kWarning, LogPart::kLimits,
      entitled ? "Using this VM's share of the limits."
               : "Not using this VM's share of the limits.",
      {{"members", m_cluster.CountMembers(now)},
       {"heard", m_cluster.CountHeard(now)}});
}

void QuotaKeeper::AddToNews(const FleetConfig& config,
                            PeerNews& news,
                            Millis now) {
  if (IsDivided()) {
    RefreshHomes(config, now);
    return;
  }
  absl::flat_hash_map<uint32_t, std::vector<PeerLevel>> levels = AllLevels(now);
  for (const Workspace& workspace : config.m_workspaces) {
    if (workspace.m_rate_per_s <= 0) {
      continue;
    }
    const uint32_t id = ShortHash(workspace.m_name);
    const AccountPtr kept = AccountOf(workspace, now);
    Account& account = *kept;
    const double capacity = Share(account, now).m_capacity;
    account.m_demand = ExpectedDemand(account.m_demand, account.m_asked);
    account.m_asked = 0;
    const double own = account.m_bucket.m_tokens - account.m_waiting;
    for (const PlannedGrant& grant :
         PlanGrants(own, account.m_demand, capacity, levels[id])) {
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
