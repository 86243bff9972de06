#include "batch/upstream_access.h"

#include <cmath>

namespace bronzecross {

UpstreamAccess MakeUpstreamAccess(UpstreamRegistry& registry) {
  UpstreamAccess access;
  access.m_load = [&registry](const UpstreamSpec& spec) {
    const UpstreamLoad load = registry.LoadOf(spec);
    return BatchLoad{load.m_own_online, load.m_peers_online, load.m_peers_batch,
                     static_cast<int64_t>(std::floor(load.m_unaccounted)),
                     load.m_usable};
  };
  access.m_pick = [&registry](const UpstreamSpec& spec,
                              std::string_view request_id) {
    return registry.PickNamed(spec.m_name, Priority::kBatch, request_id);
  };
  access.m_record_peer_online = [&registry](const std::string& upstream,
                                            const std::string& from,
                                            int64_t online) {
    registry.RecordPeerOnline(upstream, from, online);
  };
  return access;
}

}  // namespace bronzecross
