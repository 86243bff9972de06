// The parts of the gateway that the batch job classes depend on.

#ifndef BRONZECROSS_JOBS_JOB_DEPENDENCIES_H_
#define BRONZECROSS_JOBS_JOB_DEPENDENCIES_H_

#include <functional>
#include <string_view>

#include "cluster/cluster_view.h"
#include "dispatch/upstream_table.h"
#include "fleet/fleet_config.h"
#include "kv/kv_session.h"
#include "placement/placement_settings.h"

namespace bronzecross {

struct JobDependencies {
  KvSession& m_kv;
  ClusterView& m_cluster;
  UpstreamTable& m_upstreams;
  // Returns the current configuration, or null if none is known.
  std::function<FleetConfigPtr()> m_config;
  // Returns the number of online requests of a service that wait for a slot, at
  // all VMs.
  std::function<int(std::string_view)> m_online_waiting;
  // Returns whether a takeover by another VM would be heard of; see
  // job_ownership.h.
  std::function<bool()> m_hears_fleet;
  // Sends gossip to the other VMs at once, ahead of the regular interval.
  std::function<void()> m_send_gossip;
  PlacementSettings m_placement;
  size_t m_max_value_bytes;  // of the store
  // How long finished jobs are kept, counted from their submission.
  Millis m_retention;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_JOB_DEPENDENCIES_H_
