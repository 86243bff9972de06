// Calls between VMs over persistent HTTP/1.1 connections: store calls relayed
// for a VM that the store rejects, store changes for VMs that don't watch the
// store, job calls forwarded to the VM that runs the job, and requests for rate
// tokens.

#ifndef BRONZECROSS_GATEWAY_PEER_CALLS_H_
#define BRONZECROSS_GATEWAY_PEER_CALLS_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/cluster_view.h"
#include "gateway/caller_reply.h"
#include "http1/connection_pool.h"
#include "http1/exchange.h"
#include "kv/prefix_follower.h"
#include "quota/quota_manager.h"

namespace bronzecross {

// Request targets of the calls.
inline constexpr std::string_view kPeerStorePath = "/peer/store";
inline constexpr std::string_view kPeerJobPath = "/peer/job/";
inline constexpr std::string_view kPeerTokenHandoverPath =
    "/peer/token-handover";
inline constexpr std::string_view kPeerSubmitPath = "/peer/submit";
inline constexpr std::string_view kPeerVmsPath = "/peer/vms";
inline constexpr std::string_view kPeerTokenPath = "/peer/token";
inline constexpr std::string_view kPeerChangesPath = "/peer/changes";

// Header fields of the calls.
inline constexpr std::string_view kPeerMethodField = "X-Method";
inline constexpr std::string_view kPeerTargetField = "X-Target";
inline constexpr std::string_view kPeerStatusField = "X-Status";
inline constexpr std::string_view kPeerContentTypeField = "X-Content-Type";
inline constexpr std::string_view kPeerRunField = "X-Run";
inline constexpr std::string_view kPeerWorkspaceField = "X-Workspace";
inline constexpr std::string_view kPeerRequestField = "X-Request";
// Both in milliseconds.
inline constexpr std::string_view kPeerWaitBudgetField = "X-Patience";
inline constexpr std::string_view kPeerRetryAfterField = "X-Retry-After";
inline constexpr std::string_view kPeerPrefixField = "X-Prefix";
// Fields of a request for a rate token (TokenRequest). Durations are in
// milliseconds.
inline constexpr std::string_view kPeerPriorityField = "X-Priority";
inline constexpr std::string_view kPeerMaxWaitField = "X-Max-Wait";
inline constexpr std::string_view kPeerPromptRefusalField = "X-Prompt-Refusal";
inline constexpr std::string_view kPeerTimeLeftField = "X-Time-Left";
inline constexpr std::string_view kPeerPassedOnField = "X-Passed-On";
// Of rate tokens that are handed over.
inline constexpr std::string_view kPeerShardField = "X-Shard";
inline constexpr std::string_view kPeerTokensField = "X-Tokens";
inline constexpr std::string_view kPeerFromField = "X-From";
inline constexpr std::string_view kPeerIncarnationField = "X-Incarnation";
inline constexpr std::string_view kPeerStoppingField = "X-Stopping";
// A revision of the store.
inline constexpr std::string_view kPeerAfterField = "X-After";
// Set if only a VM that watches the store itself may reply.
inline constexpr std::string_view kPeerOnlyIfWatchingField =
    "X-Only-If-Watching";

// Returns how long no call is relayed after `failures` earlier ones and one
// more that no peer could relay.
Millis RelayPause(int failures);

class PeerCalls : public StoreRelay,
                  public QuotaOwnerClient,
                  public ChangeSource {
 public:
  explicit PeerCalls(const ClusterView& cluster) : m_cluster(cluster) {}

  // Sends a call to a VM and returns its reply. Fails with kPeerUnavailable if
  // the VM is unknown or can't be reached.
  Task<Result<WholeResponse>> Call(std::string vm,
                                   WholeRequest request,
                                   Millis deadline);
  Task<Result<WholeResponse>> CallAddress(NetAddress address,
                                          WholeRequest request,
                                          Millis deadline);

  // Relays store calls only through peers in zones for which `is_in_scope` is
  // true: they carry the bodies of batch jobs.
  void SetRelayScope(std::function<bool(std::string_view)> is_in_scope) {
    m_is_in_relay_scope = std::move(is_in_scope);
  }

  // Returns whether a recently seen peer reaches the store directly.
  bool CanRelay() const override;
  // Relays a store call through one of the peers. Tries them one after the
  // other, and a watch at one peer only.
  Task<Result<KvReply>> Relay(KvCall call, Millis deadline) override;

  Task<Status> RequestRateToken(std::string vm,
                                TokenRequest request,
                                std::string workspace) override;
  Task<> HandOverTokens(std::string vm, TokenHandover handover) override;

  bool HasWatcher(WatchLevels levels) const override;
  bool IsGroupWatcher() const override;
  bool IsChecker() const override;
  Task<Result<KvChanges>> WaitForChanges(std::string prefix,
                                         WatchLevels levels,
                                         int64_t after,
                                         Millis wait) override;

 private:
  struct WatcherChoice {
    std::string m_vm;  // empty: this VM watches the service itself
    bool m_only_if_watching = false;
  };

  // Returns the VM that reports changes to this VM: none if it is to watch the
  // service itself, or if no watcher can be used.
  WatcherChoice ChooseWatcher(WatchLevels levels, Millis now) const;
  // Returns the recently seen peers that reach the store directly.
  std::vector<std::string> FindRelayPeers() const;
  ConnectionPool& PoolOf(const NetAddress& address);

  const ClusterView& m_cluster;
  std::function<bool(std::string_view)> m_is_in_relay_scope =
      [](std::string_view) { return true; };
  std::map<std::string, std::unique_ptr<ConnectionPool>> m_pools;
  // The peer that relayed the last call successfully. It is tried first.
  std::string m_last_relay_peer;
  // Peers that failed to relay a call, and the time until which they aren't
  // asked again.
  std::map<std::string, Millis, std::less<>> m_failed_relays;
  // Consecutive calls that no peer could relay, and the time until which no
  // further call is relayed. Calls to the store are billed while it is away,
  // too.
  int m_relay_failures = 0;
  Millis m_no_relay_until;
  // Watchers that failed to reply, and the time until which they aren't used.
  std::map<std::string, Millis, std::less<>> m_failed_watchers;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_PEER_CALLS_H_
