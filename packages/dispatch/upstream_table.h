// Table of all registered upstreams, by id and by service.

#ifndef BRONZECROSS_DISPATCH_UPSTREAM_TABLE_H_
#define BRONZECROSS_DISPATCH_UPSTREAM_TABLE_H_

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "aio/waiter.h"
#include "cluster/cluster_view.h"
#include "dispatch/upstream.h"
#include "kv/kv_session.h"

namespace bronzecross {

class UpstreamTable {
 public:
  explicit UpstreamTable(const KvSession& kv) : m_kv(kv) {}

  void OnSnapshot(std::span<const KvItem> items);
  void OnEvent(const KvEvent& event);
  // Removes entries whose postponed removal is due. Must be called regularly.
  void DropPostponed(Millis now);
  // Recomputes which upstreams this VM prefers (upstream_subset.h).
  void RefreshSubset(const VmGroup& group, std::string_view zone);
  // Sums the requests that the peers have in flight at each upstream.
  void UpdatePeerLoad(const ClusterView& cluster, Millis now);

  bool IsLoaded() const { return m_loaded; }
  const std::vector<UpstreamPtr>& OfService(std::string_view service) const;
  const std::map<std::string, UpstreamPtr, std::less<>>& All() const {
    return m_by_id;
  }

  // Notified when upstreams may have more capacity than before.
  Condition& Changed() { return m_changed; }

 private:
  void Put(const KvItem& item);
  void Remove(std::string_view id, bool may_reregister);
  void Drop(const std::string& id);
  void Index();

  const KvSession& m_kv;
  bool m_loaded = false;
  std::map<std::string, UpstreamPtr, std::less<>> m_by_id;
  std::map<std::string, std::vector<UpstreamPtr>, std::less<>> m_by_service;
  // Entries that expired around an outage of the store, and when they are
  // removed.
  std::map<std::string, Millis, std::less<>> m_postponed;
  Condition m_changed;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_DISPATCH_UPSTREAM_TABLE_H_
