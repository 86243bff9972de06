// The VMs that a VM knows: those registered in the key-value service, and those
// heard from directly while the service is away.

#ifndef BRONZECROSS_CLUSTER_CLUSTER_VIEW_H_
#define BRONZECROSS_CLUSTER_CLUSTER_VIEW_H_

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <absl/functional/function_ref.h>

#include "cluster/cell.h"
#include "cluster/peer_news.h"
#include "cluster/vm_record.h"
#include "kv/kv_types.h"

namespace bronzecross {

// A peer heard from within this time is alive, whatever the service lists: its
// lease may have lapsed during an outage of the service. A VM that can't reach
// the service stops using its share of the limits after the same time of
// silence from most peers.
inline constexpr Millis kHeardWindow{2'500};

// News older than this says nothing about the present load.
inline constexpr Millis kFreshNews{1'000};

struct PeerVm {
  VmRecord m_record;
  bool m_listed = false;  // in the key-value service
  Millis m_heard;         // when its last news came; zero: never
  Millis m_hinted;        // when another VM told of it; zero: never
  PeerNews m_news;
};

// Whether news of the peer came within the last `window` before `now`.
inline bool IsHeard(const PeerVm& peer, Millis now, Millis window) {
  return peer.m_heard != Millis() && now - peer.m_heard < window;
}

class ClusterView {
 public:
  explicit ClusterView(VmRecord self) : m_self(std::move(self)) {}

  const VmRecord& Self() const { return m_self; }
  const std::map<std::string, PeerVm, std::less<>>& Peers() const {
    return m_peers;
  }
  PeerVm* FindPeer(std::string_view id);

  void OnSnapshot(std::span<const KvItem> items);
  void OnEvent(const KvEvent& event);
  // Adds a VM that another one has told of. It counts once it was heard from.
  void AddHint(const VmRecord& record);
  // Forgets VMs that are neither registered nor heard from.
  void Expire(Millis now);
  // Takes over news if it is newer than what is known of its sender. Returns
  // the sender, or null if the news is dropped.
  PeerVm* OnNews(PeerNews news, Millis now);

  // Whether the service has told of the VMs at least once.
  bool IsLoaded() const { return m_loaded; }
  // Whether the service lists this VM's present incarnation.
  bool IsSelfListed() const { return m_self_listed; }
  // Whether an earlier incarnation of this VM was still registered when this
  // one started: the others have counted it all the time.
  bool ReplacesEarlierSelf() const { return m_replaces_earlier_self; }
  // Whether the incarnation is that of a VM known to be alive.
  bool IsAlive(std::string_view id, uint64_t incarnation, Millis now) const;
  // Whether the work of the incarnation may be taken over: it isn't alive, or
  // it has been silent for long while most other VMs are heard. It may still be
  // alive, so whoever takes over must fence it.
  bool IsLost(std::string_view id, uint64_t incarnation, Millis now) const;
  // All VMs that may be alive, this one included.
  int CountMembers(Millis now) const;
  // How many peers were heard from lately, this VM included.
  int CountHeard(Millis now) const;
  // The VMs that this one shares its load with, as of the last RefreshCell().
  const Cell& OwnCell() const { return m_cell; }
  void RefreshCell(Millis now);
  // The live VM that comes first in the order of `key`, by rendezvous hashing.
  std::string FirstVmFor(std::string_view key, Millis now) const;
  // The same among the VMs that aren't lost. VMs may disagree on it for a
  // while.
  std::string FirstHeardVmFor(std::string_view key, Millis now) const;

 private:
  void Put(const VmRecord& record);
  bool IsSilent(const PeerVm& peer, Millis now) const;
  std::string FirstFor(
      std::string_view key,
      absl::FunctionRef<bool(const PeerVm&)> is_candidate) const;

  VmRecord m_self;
  bool m_loaded = false;
  bool m_self_listed = false;
  Cell m_cell;
  bool m_replaces_earlier_self = false;
  std::map<std::string, PeerVm, std::less<>> m_peers;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_CLUSTER_CLUSTER_VIEW_H_
