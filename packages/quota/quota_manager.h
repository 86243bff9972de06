// Manages the rate tokens that this VM holds for each workspace.

#ifndef BRONZECROSS_QUOTA_QUOTA_MANAGER_H_
#define BRONZECROSS_QUOTA_QUOTA_MANAGER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
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
#include "quota/token_handover.h"
#include "quota/token_line.h"
#include "quota/token_request.h"
#include "quota/token_sharing.h"

namespace bronzecross {

// Requests rate tokens of a workspace from the VM that owns its quota.
class QuotaOwnerClient {
 public:
  virtual ~QuotaOwnerClient() = default;
  // Takes one token at `vm`. Fails with kRateLimited if
  // QuotaManager::AdmitForPeer() does so at that VM, or with kPeerUnavailable.
  virtual Task<Status> RequestRateToken(std::string vm,
                                        TokenRequest request,
                                        std::string workspace) = 0;
  // Sends tokens to `vm`, the new owner of their shard. They are lost if that
  // fails.
  virtual Task<> HandOverTokens(std::string vm, TokenHandover handover) = 0;
};

// Admits requests within the rate limits of their workspaces. In a fleet of a
// single VM group, each VM holds a share of every workspace's tokens and
// exchanges tokens with the others through gossip. In a fleet of several VM
// groups, each workspace's tokens are held by its quota owners.
class QuotaManager {
 public:
  // `send_gossip` sends this VM's gossip to the other VMs without delay.
  QuotaManager(const ClusterView& cluster, std::function<void()> send_gossip)
      : m_cluster(cluster), m_send_gossip(std::move(send_gossip)) {}

  // `client` must outlive this object. Required in a fleet of several VM
  // groups.
  void SetOwnerClient(QuotaOwnerClient* client) { m_owner_client = client; }

  // Takes a token for one request, in a fleet of several VM groups from the
  // workspace's quota owner. Fails with kRateLimited and a retry-after time.
  Task<Status> Admit(TokenRequest request,
                     const Workspace& workspace,
                     Cancellation& cancellation);
  // Takes a token for a request of another VM that regards this VM as the quota
  // owner. Fails with kPeerUnavailable if this VM isn't the owner.
  Task<Status> AdmitForPeer(TokenRequest request,
                            const Workspace& workspace,
                            Cancellation& cancellation);
  // Same for a request of which only the wait budget is known.
  Task<Status> AdmitForPeer(std::string request_id,
                            const Workspace& workspace,
                            Millis wait_budget,
                            Cancellation& cancellation);
  // Takes one of this VM's tokens, in a fleet of a single VM group. Waits up to
  // `wait_budget` if other VMs have tokens or the bucket will hold one in that
  // time.
  Task<Status> AdmitHere(std::string request_id,
                         const Workspace& workspace,
                         Millis wait_budget,
                         Cancellation& cancellation);

  // Whether this VM may grant tokens as the owner of the workspace's quota: it
  // has its share of the limits, or an earlier owner has handed over tokens.
  bool IsOwnerReady(const Workspace& workspace) const;
  // Adds tokens that an earlier owner of a quota shard has handed over.
  void AcceptHandover(const TokenHandover& handover,
                      const Workspace& workspace,
                      Millis now);
  // Hands all tokens over to the next owners, before this VM stops. It grants
  // none afterwards.
  void HandOverAll(Millis now);

  // Sets whether this VM may use its share of the limits now.
  void SetShareActive(bool is_active, Millis now);
  // Adds this VM's token levels to its gossip, and the tokens that it grants to
  // other VMs.
  void AddToGossip(const FleetConfig& config,
                   GossipMessage& gossip,
                   Millis now);
  // Adds the tokens that a peer granted to this VM. `own_sequence` is the
  // sequence number of this VM's last gossip message.
  void OnGossip(const GossipMessage& gossip, uint64_t own_sequence, Millis now);

 private:
  struct Account {
    std::string m_name;
    // In a fleet of several VM groups: number of quota shards that this VM
    // owns, of m_shard_count.
    int m_owned_shards = 0;
    int m_shard_count = 1;
    // The owned shards, and since when.
    std::map<int, Millis> m_shards;
    // The shards whose tokens were handed over, and by whom.
    struct Handed {
      std::string m_from;
      uint64_t m_from_incarnation = 0;
      bool m_is_stopping = false;  // the giver
      Millis m_valid_until;
    };
    std::map<int, Handed> m_handed;
    double m_rate_per_s = 0;
    double m_burst = 0;
    TokenBucket m_bucket;
    int m_waiting = 0;      // requests that wait for a token
    double m_requests = 0;  // requests since the last gossip message
    double m_demand = 0;    // requests expected until the next gossip message
    // Rejected callers that are expected to retry, in tokens. Decreases at the
    // refill rate.
    double m_pending_retries = 0;
    Condition m_tokens_added;
    // In a fleet of several VM groups: the requests that wait for a token or
    // are expected to come back.
    TokenLine m_line;
    // No request is passed on to the owners of other shards before.
    Millis m_no_passing_until;
  };
  // A request in the line of an account.
  struct OwnerWaiter;
  class LineEntry;

  using AccountPtr = std::shared_ptr<Account>;

  bool HasMultipleGroups() const {
    return !m_cluster.OwnGroup().m_is_whole_fleet;
  }
  // Keeps accounts only for the workspaces whose quota this VM owns. The others
  // are erased, so that a VM that becomes an owner starts without tokens.
  void RefreshOwnedAccounts(const FleetConfig& config, Millis now);
  // Does the same for one workspace. Returns its account, or null if this VM
  // owns none of its quota shards.
  AccountPtr RefreshOwnedAccount(const Workspace& workspace, Millis now);
  // Takes a token of an account of this VM, the quota owner, as
  // SettleLine() decides.
  Task<Status> AdmitAsOwner(TokenRequest request,
                            const Workspace& workspace,
                            Cancellation& cancellation);
  // Waits in the account's line until the request has an outcome.
  Task<> WaitInLine(Account& account,
                    OwnerWaiter& waiter,
                    Cancellation& cancellation);
  // Gives the account's tokens to its line and wakes the requests concerned.
  void SettleAccount(Account& account, Millis now);
  // Tries the owners of the workspace's other shards, which grant a token only
  // if they can spare one at once.
  Task<bool> TakeFromOtherShard(TokenRequest request,
                                Workspace workspace,
                                AccountPtr account);
  // Returns the number of shards that this VM may use by a handover.
  static int CountHanded(const Account& account, Millis now);
  // Whether the list of VMs still names the earlier owner of a shard, which has
  // handed its tokens over to this VM and is about to stop.
  bool IsHeldByHandover(const Account& account, int shard, Millis now) const;
  // Removes a shard and sends its tokens to `receiver`.
  void HandOver(Account& account, int shard, const std::string& receiver);
  void HandOverLostShards(Account& account,
                          const std::set<int>& owned,
                          Millis now);
  // Takes a token at `vm`, which may be this one.
  Task<Status> AdmitAt(std::string vm,
                       TokenRequest request,
                       Workspace workspace,
                       Cancellation& cancellation);
  // Takes a token at the owner of this VM's quota shard, or at the next owner
  // if that one isn't ready.
  Task<Status> AdmitAtOwner(TokenRequest request,
                            Workspace workspace,
                            int shard,
                            Cancellation& cancellation);
  TokenSupply Supply(const Account& account, Millis now) const;
  Status RejectAsOwner(std::string_view request_id,
                       const Account& account,
                       const TokenWaiter& waiter,
                       Millis now) const;
  // Whether this VM has just started and its share is expected to become
  // active soon.
  bool IsAwaitingShare(Millis now) const;
  // Waits up to `until` while IsAwaitingShare().
  Task<> WaitForShare(Millis until);
  AccountPtr GetOrCreateAccount(const Workspace& workspace, Millis now);
  TokenShare Share(const Account& account, Millis now) const;
  void Refill(Account& account, Millis now);
  // Visits the token levels reported by recently seen peers, with the ShortHash
  // of the workspace's name.
  void ForEachLevel(
      Millis now,
      absl::FunctionRef<void(uint32_t, const PeerLevel&)> visit) const;
  absl::flat_hash_map<uint32_t, std::vector<PeerLevel>> AllLevels(
      Millis now) const;
  // Returns the sum of the token levels that recently seen peers reported.
  double SumPeerTokens(uint32_t workspace, Millis now) const;
  // Returns the retry-after time for a rejected caller.
  Millis RetryAfter(const Account& account, Millis now) const;
  // Returns the time at which a token is expected to be available.
  Millis NextTokenTime(const Account& account, uint32_t id, Millis now) const;
  Status Reject(std::string_view request_id,
                Account& account,
                uint32_t id,
                Millis now);

  const ClusterView& m_cluster;
  std::function<void()> m_send_gossip;
  const Millis m_created = MonotonicNow();
  bool m_share_active = false;
  bool m_share_was_active = false;  // at any time since the start
  // Since when an active share earns tokens.
  Millis m_earns_from;
  bool m_released = false;  // HandOverAll() was called
  Condition m_share_active_changed;
  // Keyed by ShortHash of the workspace's name.
  absl::flat_hash_map<uint32_t, AccountPtr> m_accounts;
  QuotaOwnerClient* m_owner_client = nullptr;
  Millis m_next_ownership_check;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_QUOTA_QUOTA_MANAGER_H_
