// What batch jobs need of the rest of the gateway.

#ifndef BRONZECROSS_JOBS_JOB_PARTS_H_
#define BRONZECROSS_JOBS_JOB_PARTS_H_

#include <functional>
#include <string_view>

#include "cluster/cluster_view.h"
#include "dispatch/upstream_table.h"
#include "fleet/fleet_config.h"
#include "kv/kv_session.h"

namespace bronzecross {

struct JobParts {
  KvSession& m_kv;
  ClusterView& m_cluster;
  UpstreamTable& m_upstreams;
  // The configuration in force; null if none is known.
  std::function<FleetConfigPtr()> m_config;
  // Online requests of a service that wait for a slot, at all VMs.
  std::function<int(std::string_view)> m_online_waiting;
  // Sends news to the other VMs without waiting for the next regular time.
  std::function<void()> m_send_news;
  Millis m_retention;  // of finished jobs, from submission
};

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_JOB_PARTS_H_
