// Calls between VMs over kept HTTP/1.1 connections: store calls carried for a
// VM that the store turns away, changes of the store for VMs that don't watch
// it, calls about jobs for the VM that runs them, and requests for rate tokens.

#ifndef BRONZECROSS_GATEWAY_PEER_CALLS_H_
#define BRONZECROSS_GATEWAY_PEER_CALLS_H_

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

// Paths of the calls.
inline constexpr std::string_view kPeerStorePath = "/peer/store";
inline constexpr std::string_view kPeerJobPath = "/peer/job/";
inline constexpr std::string_view kPeerVmsPath = "/peer/vms";
inline constexpr std::string_view kPeerTokenPath = "/peer/token";
inline constexpr std::string_view kPeerChangesPath = "/peer/changes";

// Fields of the calls.
inline constexpr std::string_view kPeerMethodField = "X-Method";
inline constexpr std::string_view kPeerTargetField = "X-Target";
inline constexpr std::string_view kPeerStatusField = "X-Status";
inline constexpr std::string_view kPeerContentTypeField = "X-Content-Type";
inline constexpr std::string_view kPeerRunField = "X-Run";
inline constexpr std::string_view kPeerWorkspaceField = "X-Workspace";
inline constexpr std::string_view kPeerRequestField = "X-Request";
// In milliseconds.
inline constexpr std::string_view kPeerPatienceField = "X-Patience";
inline constexpr std::string_view kPeerRetryField = "X-Retry-After";
inline constexpr std::string_view kPeerPrefixField = "X-Prefix";
// A revision of the store.
inline constexpr std::string_view kPeerAfterField = "X-After";

class PeerCalls : public StoreRelay,
                  public QuotaOwnerClient,
                  public ChangeSource {
 public:
  explicit PeerCalls(const ClusterView& cluster) : m_cluster(cluster) {}

  // Sends a call to a VM. Fails with kPeerUnavailable.
  Task<Result<WholeResponse>> Call(std::string vm,
                                   WholeRequest request,
                                   Millis deadline);
  Task<Result<WholeResponse>> CallAddress(NetAddress address,
                                          WholeRequest request,
                                          Millis deadline);

  // Only peers that reach the store themselves are asked.
  bool CanRelay() const override;
  // Tries one peer after the other.
  Task<Result<KvReply>> Relay(KvCall call, Millis deadline) override;

  Task<Status> RequestRateToken(std::string vm,
                                std::string request_id,
                                std::string workspace,
                                Millis patience) override;

  bool HasWatcher() const override;
  Task<Result<KvChanges>> WaitForChanges(std::string prefix,
                                         int64_t after,
                                         Millis wait) override;

 private:
  // The watcher of this VM's cell that it asks; empty if it watches itself.
  std::string ChooseWatcher(Millis now) const;
  // Peers heard from lately that reach the store.
  std::vector<std::string> RelayPeers() const;
  ConnectionPool& PoolOf(const NetAddress& address);

  const ClusterView& m_cluster;
  std::map<std::string, std::unique_ptr<ConnectionPool>> m_pools;
  // The peer that carried the last call; tried first.
  std::string m_relay_peer;
  // Watchers that didn't answer, and until when they aren't asked again.
  std::map<std::string, Millis, std::less<>> m_failed_watchers;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_PEER_CALLS_H_
