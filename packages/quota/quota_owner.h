// Decides which VMs of a large fleet keep a workspace's rate tokens. It answers
// the load of many small workspaces whose callers reach all VMs: a limit that
// is split over more VMs than its burst has tokens refuses callers inside their
// rate. Each workspace has one home VM or, for a high rate, a few; the others
// ask it for a token for each request.

#ifndef BRONZECROSS_QUOTA_QUOTA_OWNER_H_
#define BRONZECROSS_QUOTA_QUOTA_OWNER_H_

#include <string>
#include <string_view>

#include "base/clock.h"
#include "cluster/cluster_view.h"

namespace bronzecross {

// Over how many VMs the tokens of a rate are spread.
int CountHomes(double rate_per_s);

// The VM that keeps the part `index` of a workspace's tokens.
std::string FindHome(const ClusterView& cluster,
                     std::string_view workspace,
                     int index,
                     Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_QUOTA_QUOTA_OWNER_H_
