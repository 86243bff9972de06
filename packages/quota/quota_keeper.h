// The rate tokens that this VM holds, for each workspace.

#ifndef BRONZECROSS_QUOTA_QUOTA_KEEPER_H_
#define BRONZECROSS_QUOTA_QUOTA_KEEPER_H_

#include <cstdint>
#include <string>

#include <absl/container/flat_hash_map.h>

#include "base/error.h"
#include "cluster/cluster_view.h"
#include "fleet/fleet_config.h"
#include "limits/token_bucket.h"

namespace bronzecross {

class QuotaKeeper {
 public:
  explicit QuotaKeeper(const ClusterView& cluster) : m_cluster(cluster) {}

  // Takes a token for one request. Fails with kRateLimited, with the time until
  // the next token.
  Status Admit(const Workspace& workspace, Millis now);

  // Follows the number of members and whether this VM may use its share.
  void SetEntitled(bool entitled, Millis now);
  // Adds this VM's levels to its news, and the tokens that it gives away.
  void AddToNews(const FleetConfig& config, PeerNews& news, Millis now);
  // Takes the tokens granted to this VM.
  void OnNews(const PeerNews& news, uint64_t own_sequence, Millis now);

 private:
  struct Account {
    std::string m_name;
    double m_rate_per_s = 0;
    double m_burst = 0;
    TokenBucket m_bucket;
  };

  Account& Refilled(const Workspace& workspace, Millis now);
  void Refill(Account& account, Millis now);

  const ClusterView& m_cluster;
  bool m_entitled = false;
  // By ShortHash of the workspace's name.
  absl::flat_hash_map<uint32_t, Account> m_accounts;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_QUOTA_QUOTA_KEEPER_H_
