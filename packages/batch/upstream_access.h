// What the dispatcher asks of the registry of upstreams.

#ifndef BRONZECROSS_BATCH_UPSTREAM_ACCESS_H_
#define BRONZECROSS_BATCH_UPSTREAM_ACCESS_H_

#include <functional>
#include <string>

#include "config/manifest.h"
#include "upstreams/upstream_registry.h"

namespace bronzecross {

// The load of one upstream beside this VM's batch items.
struct BatchLoad {
  int64_t m_own_online = 0;
  int64_t m_peers_online = 0;
  int64_t m_peers_batch = 0;
  int64_t m_hidden = 0;
  bool m_usable = false;
};

struct UpstreamAccess {
  std::function<BatchLoad(const UpstreamSpec&)> m_load;
  // Counts one batch item as in flight; fails with kNoUpstream.
  std::function<Result<PickedUpstream>(const UpstreamSpec&,
                                       std::string_view request_id)>
      m_pick;
  // Notes what the VM `from` told of its online requests on an upstream.
  std::function<void(const std::string& upstream,
                     const std::string& from,
                     int64_t online)>
      m_note_online;
};

UpstreamAccess MakeUpstreamAccess(UpstreamRegistry& registry);

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_UPSTREAM_ACCESS_H_
