// Tracks the VMs of the fleet: those registered in the key-value service, and
// those whose gossip arrives directly while the service is unreachable.

#ifndef BRONZECROSS_CLUSTER_CLUSTER_VIEW_H_
#define BRONZECROSS_CLUSTER_CLUSTER_VIEW_H_

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <absl/functional/function_ref.h>

#include "cluster/gossip_message.h"
#include "cluster/vm_group.h"
#include "cluster/vm_record.h"
#include "kv/kv_types.h"

namespace bronzecross {

// A peer whose gossip arrived within this time is alive even if the service
// doesn't list it, since its lease may have expired during an outage. A VM that
// can't reach the service and receives no gossip from most peers for the same
// time stops using its share of the limits.
inline constexpr Millis kRecentlySeenWindow{2'500};

// Maximum age of gossip that is used as an estimate of the current load.
inline constexpr Millis kMaxGossipAge{1'000};

struct PeerVm {
  VmRecord m_record;
  bool m_listed = false;   // in the key-value service
  Millis m_last_seen;      // when its last gossip arrived; zero: never
  Millis m_reported_time;  // when another VM reported it; zero: never
  GossipMessage m_gossip;
};

// Whether gossip from the peer arrived within `window` before `now`.
inline bool IsRecentlySeen(const PeerVm& peer, Millis now, Millis window) {
  return peer.m_last_seen != Millis() && now - peer.m_last_seen < window;
}

class ClusterView {
 public:
  explicit ClusterView(VmRecord self) : m_self(std::move(self)) {}

  const VmRecord& Self() const { return m_self; }
  const std::map<std::string, PeerVm, std::less<>>& Peers() const {
    return m_peers;
  }
  PeerVm* FindPeer(std::string_view id);
  // Visits the known VMs of this VM's group, which send it all gossip.
  void ForEachGroupPeer(
      absl::FunctionRef<void(std::string_view, const PeerVm&)> visit) const;

  void OnSnapshot(std::span<const KvItem> items);
  void OnEvent(const KvEvent& event);
  // Adds a VM that another VM has reported. It counts as a member once gossip
  // from it arrives.
  void AddReportedVm(const VmRecord& record);
  // Removes VMs that are neither registered nor seen for a while.
  void Expire(Millis now);
  // Stores the message if it is newer than the last one of its sender. Returns
  // the sender, or null if the message is dropped.
  PeerVm* OnGossip(GossipMessage gossip, Millis now);

  // Whether the list of VMs has been read from the service at least once.
  bool IsLoaded() const { return m_loaded; }
  // Whether gossip has arrived from a peer, if there are any.
  bool HasHeardFromPeers() const;
  // Whether the service lists this VM's current incarnation.
  bool IsSelfListed() const { return m_self_listed; }
  // The VMs that the service lists, this one included if its current
  // incarnation is listed. The views are valid until the next change.
  std::vector<VmGroupMember> RegisteredVms() const;
  // Changes whenever RegisteredVms() may have changed.
  int64_t RegistrationVersion() const { return m_registration_version; }
  // Whether an earlier incarnation of this VM was still registered when this
  // one started, so that the other VMs have counted it without interruption.
  bool ReplacesEarlierIncarnation() const {
    return m_replaces_earlier_incarnation;
  }
  // Whether `id` is a VM that is alive with this incarnation.
  bool IsAlive(std::string_view id, uint64_t incarnation, Millis now) const;
  // Whether the work of the incarnation may be taken over: it isn't alive, or
  // it is unresponsive while most other VMs are recently seen. Since it may
  // still run, the VM that takes over must fence it.
  bool IsLost(std::string_view id, uint64_t incarnation, Millis now) const;
  // The VMs that may be alive, including this one. The views are valid until
  // the next change.
  std::vector<VmGroupMember> Members(Millis now) const;
  // Number of VMs that may be alive, including this one.
  int CountMembers(Millis now) const;
  // Number of recently seen VMs, including this one.
  int CountRecentlySeen(Millis now) const;
  // The group of this VM as of the last RefreshGroup().
  const VmGroup& OwnGroup() const { return m_group; }
  void RefreshGroup(Millis now);
  // Returns the live VM with the highest rendezvous hash for `key`.
  std::string FirstVmFor(std::string_view key, Millis now) const;
  // Same without the VM `except`; an empty string if there is no other.
  std::string FirstVmForExcept(std::string_view key,
                               std::string_view except,
                               Millis now) const;
  // Same as FirstVmFor(), but without unresponsive VMs. VMs may return
  // different results for a while.
  std::string FirstResponsiveVmFor(std::string_view key, Millis now) const;
  // Same among this VM and those in zones for which `is_in_scope` is true.
  std::string FirstResponsiveVmFor(
      std::string_view key,
      Millis now,
      absl::FunctionRef<bool(std::string_view)> is_in_scope) const;

 private:
  void Put(const VmRecord& record);
  bool IsUnresponsive(const PeerVm& peer, Millis now) const;
  std::string FirstFor(
      std::string_view key,
      absl::FunctionRef<bool(const PeerVm&)> is_candidate) const;

  VmRecord m_self;
  bool m_loaded = false;
  bool m_self_listed = false;
  int64_t m_registration_version = 0;
  VmGroup m_group;
  bool m_replaces_earlier_incarnation = false;
  std::map<std::string, PeerVm, std::less<>> m_peers;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_CLUSTER_CLUSTER_VIEW_H_
