// Keeps track of the cold upstreams, and of whether this VM is one of the
// senders of each.

#ifndef BRONZECROSS_DISPATCH_COLD_UPSTREAMS_H_
#define BRONZECROSS_DISPATCH_COLD_UPSTREAMS_H_

#include <map>
#include <string>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include "cluster/cluster_view.h"
#include "dispatch/upstream.h"
#include "placement/cold_senders.h"

namespace bronzecross {

class ColdUpstreams {
 public:
  explicit ColdUpstreams(PlacementSettings settings) : m_settings(settings) {}

  // Notes that `upstream` may be cold. A cold upstream gets nothing from this
  // VM before the next Update().
  void Watch(const UpstreamPtr& upstream);
  // The limits of services have changed: the senders are chosen again.
  void OnLimitsChange() { m_new = m_cold; }
  // Updates the senders after changes. `may_send` tells whether this VM is
  // certainly registered: while it isn't, another one may have taken its place.
  // Must be called regularly; visits the cold upstreams only.
  void Update(const ClusterView& cluster, bool may_send, Millis now);

 private:
  // Sets the rate of this VM for all upstreams in m_cold, or for the new ones.
  void SetRates(const ClusterView& cluster, bool may_send, Millis now);

  PlacementSettings m_settings;
  absl::flat_hash_set<UpstreamPtr> m_cold;
  // Those of m_cold for which the senders haven't been computed.
  absl::flat_hash_set<UpstreamPtr> m_new;
  // The cold upstreams whose senders have been chosen.
  absl::flat_hash_set<UpstreamPtr> m_planned;
  // The state of the fleet for which they were computed.
  int64_t m_fleet_version = -1;
  bool m_may_send = false;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_DISPATCH_COLD_UPSTREAMS_H_
