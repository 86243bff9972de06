// The functions of the upstream registry that the dispatcher uses.

#ifndef BRONZECROSS_BATCH_UPSTREAM_ACCESS_H_
#define BRONZECROSS_BATCH_UPSTREAM_ACCESS_H_

#include <functional>
#include <string>

#include "config/manifest.h"
#include "upstreams/upstream_registry.h"

namespace bronzecross {

// The load of one upstream apart from this VM's batch items.
struct BatchLoad {
  int64_t m_own_online = 0;
  int64_t m_peers_online = 0;
  int64_t m_peers_batch = 0;
  // Requests that the upstream reports beyond the known ones.
  int64_t m_unattributed = 0;
  bool m_usable = false;
};

struct UpstreamAccess {
  std::function<BatchLoad(const UpstreamSpec&)> m_load;
  // Picks the upstream for one batch item and counts the item as in flight.
  // Fails with kNoUpstream.
  std::function<Result<PickedUpstream>(const UpstreamSpec&,
                                       std::string_view request_id)>
      m_pick;
  // Records how many online requests the VM `from` reports to have on an
  // upstream.
  std::function<void(const std::string& upstream,
                     const std::string& from,
                     int64_t online)>
      m_record_peer_online;
};

UpstreamAccess MakeUpstreamAccess(UpstreamRegistry& registry);

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_UPSTREAM_ACCESS_H_
