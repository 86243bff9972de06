// Assigns a workspace's rate tokens to VMs of a large fleet. This suits a load
// of many small workspaces whose callers reach all VMs: a limit that is split
// over more VMs than its burst has tokens rejects callers that stay within
// their rate. The limit is therefore split into one quota shard or, for a high
// rate, a few. Each shard has one owner; the other VMs request a token from an
// owner for each request.

#ifndef BRONZECROSS_QUOTA_QUOTA_OWNER_H_
#define BRONZECROSS_QUOTA_QUOTA_OWNER_H_

#include <string>
#include <string_view>

#include "base/clock.h"
#include "cluster/cluster_view.h"

namespace bronzecross {

// Returns the number of quota shards for a rate.
int CountQuotaShards(double rate_per_s);

// Returns the VM that owns the quota shard `index` of a workspace.
std::string FindQuotaOwner(const ClusterView& cluster,
                           std::string_view workspace,
                           int index,
                           Millis now);

// Returns the VM that owns the shard if `except` is not alive; an empty string
// if there is no other VM.
std::string FindNextQuotaOwner(const ClusterView& cluster,
                               std::string_view workspace,
                               int index,
                               std::string_view except,
                               Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_QUOTA_QUOTA_OWNER_H_
