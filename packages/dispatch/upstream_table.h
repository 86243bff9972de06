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
#include "dispatch/cold_upstreams.h"
#include "dispatch/upstream.h"
#include "fleet/fleet_config.h"
#include "kv/kv_session.h"
#include "placement/evacuated_zones.h"
#include "placement/freeze_guard.h"

namespace bronzecross {

class UpstreamTable {
 public:
  UpstreamTable(const KvSession& kv, PlacementSettings placement)
      : m_kv(kv), m_placement(placement), m_cold_upstreams(placement) {}

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

  // Stop and resume the use of all upstreams of an availability zone, also of
  // those that register later.
  void BeginEvacuation(std::string_view zone);
  void EndEvacuation(std::string_view zone);
  // Ends the evacuations of all zones that aren't among `listed`.
  void EndUnlistedEvacuations(std::span<const std::string_view> listed);
  const EvacuatedZones& Evacuations() const { return m_evacuated_zones; }

  // Takes over which services have cold upstreams.
  void OnConfig(const FleetConfig& config);
  // Updates to which cold upstreams this VM sends requests; see ColdUpstreams.
  // Must be called regularly.
  void UpdateCold(const ClusterView& cluster, bool may_send, Millis now);

  // Holds requests back for a short time if the process was frozen since the
  // last call, and returns whether it was. Must be called regularly.
  bool HoldAfterFreeze(Millis now) {
    return m_placement.m_evacuation_bound > Millis() &&
           DetectFreeze(m_freeze, now);
  }
  void EndHold() { m_freeze.m_hold_until = Millis(); }
  // Whether no request may be sent for now.
  bool IsHeldAt(Millis now) const { return IsHeld(m_freeze, now); }

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
  // Marks an upstream as no longer registered and keeps its object for as long
  // as its incarnation may register again.
  void Deregister(const UpstreamPtr& upstream);
  // Returns the object for an entry that has been registered. It is the earlier
  // object of the same incarnation if that still has requests in flight, since
  // their responses may yet say that the upstream is leaving.
  UpstreamPtr MakeUpstream(UpstreamEntry entry);
  // Applies what an entry of the upstream that has just arrived implies.
  void Apply(const UpstreamPtr& upstream);
  // Applies what the evacuations, their ends and the configuration imply.
  void ApplyZone(Upstream& upstream) const;
  void ApplyZones();
  void ApplyZoneReturn(Upstream& upstream) const;
  void ApplyLimits(Upstream& upstream) const;
  void Remove(std::string_view id, bool may_reregister);
  void Drop(const std::string& id);
  void Index();
  int64_t MemoryOfService(std::string_view service) const;

  const KvSession& m_kv;
  const PlacementSettings m_placement;
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
  FreezeGuard m_freeze;
  EvacuatedZones m_evacuated_zones;
  // When the last evacuation of each zone ended.
  std::map<std::string, Millis, std::less<>> m_zone_returns;
  // The services with cold upstreams.
  std::map<std::string, ColdLimits, std::less<>> m_cold_limits;
  ColdUpstreams m_cold_upstreams;
  // Entries that expired around an outage of the store, and when they are
  // removed.
  std::map<std::string, Millis, std::less<>> m_postponed;
  // Incarnations that were leaving or had requests of this VM in flight when
  // their registration ended, by the id of the upstream.
  struct LeftUpstream {
    UpstreamPtr m_upstream;
    Millis m_forget_at;  // monotonic time
  };
  absl::flat_hash_map<std::string, LeftUpstream> m_left;
  Condition m_changed;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_DISPATCH_UPSTREAM_TABLE_H_
