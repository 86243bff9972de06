// The rate tokens that this VM holds, for each workspace.

#ifndef BRONZECROSS_QUOTA_QUOTA_MANAGER_H_
#define BRONZECROSS_QUOTA_QUOTA_MANAGER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/functional/function_ref.h>

#include "aio/cancellation.h"
#include "aio/task.h"
#include "base/error.h"
#include "cluster/cluster_view.h"
#include "fleet/fleet_config.h"
#include "limits/token_bucket.h"
#include "quota/token_sharing.h"

namespace bronzecross {

// Asks another VM for a token of a workspace.
class TokenCalls {
 public:
  virtual ~TokenCalls() = default;
  // Fails with kRateLimited as QuotaKeeper::AdmitHere() does at the other VM,
  // or with kPeerUnavailable.
  virtual Task<Status> AskForToken(std::string vm,
                                   std::string request_id,
                                   std::string workspace,
                                   Millis patience) = 0;
};

class QuotaKeeper {
 public:
  // `send_news` sends this VM's news to the others without delay.
  QuotaKeeper(const ClusterView& cluster, std::function<void()> send_news)
      : m_cluster(cluster), m_send_news(std::move(send_news)) {}

  // `calls` must outlive this object. Needed in a divided fleet.
  void SetCalls(TokenCalls* calls) { m_calls = calls; }

  // Takes a token for one request, in a divided fleet from the workspace's home
  // VM. Fails with kRateLimited and the best time to come back.
  Task<Status> Admit(std::string request_id,
                     const Workspace& workspace,
                     Millis patience,
                     Cancellation& cancellation);
  // The same for a request of another VM, which takes this one for the home.
  // Fails with kPeerUnavailable if it isn't.
  Task<Status> AdmitForPeer(std::string request_id,
                            const Workspace& workspace,
                            Millis patience,
                            Cancellation& cancellation);
  // Takes one of this VM's tokens. If other VMs have tokens, or one is earned
  // soon, waits up to `patience` for it.
  Task<Status> AdmitHere(std::string request_id,
                         const Workspace& workspace,
                         Millis patience,
                         Cancellation& cancellation);

  // Follows whether this VM may use its share.
  void SetEntitled(bool entitled, Millis now);
  // Adds this VM's levels to its news, and the tokens that it gives away.
  void AddToNews(const FleetConfig& config, PeerNews& news, Millis now);
  // Takes the tokens granted to this VM. `own_sequence` is that of its last
  // news.
  void OnNews(const PeerNews& news, uint64_t own_sequence, Millis now);

 private:
  struct Account {
    std::string m_name;
    // Parts of the limit that this VM keeps in a divided fleet, and their
    // number.
    int m_parts = 0;
    int m_homes = 1;
    double m_rate_per_s = 0;
    double m_burst = 0;
    TokenBucket m_bucket;
    int m_waiting = 0;    // requests that wait for a token
    double m_asked = 0;   // requests since the last news
    double m_demand = 0;  // requests expected until the next news
    // Tokens that refused callers will come back for; falls as they are earned.
    double m_promised = 0;
    Condition m_tokens_added;
  };

  using AccountPtr = std::shared_ptr<Account>;

  bool IsDivided() const { return !m_cluster.OwnCell().m_is_whole_fleet; }
  // Keeps accounts of the workspaces that have their home here, and only these:
  // a VM that gets to be a home begins without tokens.
  void RefreshHomes(const FleetConfig& config, Millis now);
  // The same for one workspace. Returns its account; null if its home is
  // elsewhere.
  AccountPtr RefreshHome(const Workspace& workspace, Millis now);
  // Whether this VM has just started and will soon use its share.
  bool IsSettling(Millis now) const;
  // Waits, up to `until`, for a VM that has just started to use its share.
  Task<> WaitUntilSettled(Millis until);
  AccountPtr AccountOf(const Workspace& workspace, Millis now);
  TokenShare Share(const Account& account, Millis now) const;
  void Refill(Account& account, Millis now);
  // Visits what the peers told lately, with the workspace's ShortHash.
  void ForEachLevel(
      Millis now,
      absl::FunctionRef<void(uint32_t, const PeerLevel&)> visit) const;
  absl::flat_hash_map<uint32_t, std::vector<PeerLevel>> AllLevels(
      Millis now) const;
  // Tokens that the other VMs told of.
  double TokensElsewhere(uint32_t workspace, Millis now) const;
  // After what time a refused caller is best back.
  Millis NextChance(const Account& account, Millis now) const;
  // When a token is likely to be there.
  Millis NextToken(const Account& account, uint32_t id, Millis now) const;
  Status Refuse(std::string_view request_id,
                Account& account,
                uint32_t id,
                Millis now);

  const ClusterView& m_cluster;
  std::function<void()> m_send_news;
  const Millis m_created = MonotonicNow();
  bool m_entitled = false;
  bool m_was_entitled = false;  // at any time
  Condition m_entitled_changed;
  // By ShortHash of the workspace's name.
  absl::flat_hash_map<uint32_t, AccountPtr> m_accounts;
  TokenCalls* m_calls = nullptr;
  Millis m_next_home_check;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_QUOTA_QUOTA_MANAGER_H_
