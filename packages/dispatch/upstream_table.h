// Table of all registered upstreams, by id and by service.

#ifndef BRONZECROSS_DISPATCH_UPSTREAM_TABLE_H_
#define BRONZECROSS_DISPATCH_UPSTREAM_TABLE_H_

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include "aio/waiter.h"
#include "cluster/cluster_view.h"
#include "dispatch/upstream.h"
#include "fleet/fleet_config.h"
#include "kv/kv_session.h"

namespace bronzecross {

class UpstreamTable {
 public:
  explicit UpstreamTable(const KvSession& kv) : m_kv(kv) {}

  void OnSnapshot(std::span<const KvItem> items);
  void OnEvent(const KvEvent& event);
  // Removes entries whose postponed removal is due. Must be called regularly.
  void DropPostponed(Millis now);
  // Recomputes which upstreams this VM prefers (upstream_subset.h) if its group
  // or the table has changed.
  void RefreshSubset(const VmGroup& group, std::string_view zone);
  // Sums the requests that the VMs of this VM's group have in flight at each
  // upstream.
  void UpdatePeerLoad(const ClusterView& cluster, Millis now);
  // Stores the memory of the engines of each service. Must be called with each
  // new configuration.
  void SetEngineMemory(const FleetConfig& config);
  // Stores the work times and machine reports of another VM.
  void UpdatePeerPace(const GossipMessage& gossip, Millis now);

  bool IsLoaded() const { return m_loaded; }
  const std::vector<UpstreamPtr>& OfService(std::string_view service) const;
  // Returns the upstreams of a service that this VM prefers.
  const std::vector<UpstreamPtr>& SubsetOf(std::string_view service) const;
  // Keeps `upstream` in InUse() until it has no requests of this VM in flight
  // and no fresh report of a machine at an unusual pace.
  void MarkInUse(const UpstreamPtr& upstream) { m_in_use.insert(upstream); }
  // Returns the upstreams of which the other VMs should hear: those at which
  // this VM has requests in flight, or has just received such a report.
  const absl::flat_hash_set<UpstreamPtr>& InUse(Millis now);

  // Notified when upstreams may have more capacity than before.
  Condition& Changed() { return m_changed; }

 private:
  void Put(const KvItem& item);
  // Marks an upstream as no longer registered. If its incarnation registers
  // again, it is still leaving if it was before.
  void Deregister(Upstream& upstream);
  void Remove(std::string_view id, bool may_reregister);
  void Drop(const std::string& id);
  void Index();
  int64_t MemoryOfService(std::string_view service) const;

  const KvSession& m_kv;
  bool m_loaded = false;
  std::map<std::string, UpstreamPtr, std::less<>> m_by_id;
  std::map<std::string, std::vector<UpstreamPtr>, std::less<>> m_by_service;
  std::map<std::string, std::vector<UpstreamPtr>, std::less<>> m_subsets;
  absl::flat_hash_map<uint32_t, UpstreamPtr> m_by_hash;
  absl::flat_hash_set<UpstreamPtr> m_in_use;
  // Memory of the engines by service, where it is known.
  std::map<std::string, int64_t, std::less<>> m_memory_by_service;
  // Upstreams with requests of other VMs.
  std::vector<UpstreamPtr> m_with_peer_load;
  // The group for which m_subsets was computed, and whether the table has
  // changed since.
  VmGroup m_subset_group;
  std::string m_zone;
  bool m_subset_outdated = true;
  // Entries that expired around an outage of the store, and when they are
  // removed.
  std::map<std::string, Millis, std::less<>> m_postponed;
  // Incarnations that were leaving when their registration ended, by the id of
  // the upstream.
  struct LeftUpstream {
    Millis m_started;    // of the incarnation; Unix time
    Millis m_forget_at;  // monotonic time
  };
  absl::flat_hash_map<std::string, LeftUpstream> m_left;
  Condition m_changed;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_DISPATCH_UPSTREAM_TABLE_H_
