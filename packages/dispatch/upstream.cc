#include "dispatch/upstream.h"

#include "cluster/gossip_message.h"

namespace bronzecross {
namespace {

// How long an idle connection may be reused if the upstream sends no time-out.
constexpr Millis kIdleConnection{4'000};

// Weight of a new measurement in the moving average.
constexpr double kNewWeight = 0.2;

}  // namespace

Upstream::Upstream(UpstreamEntry entry)
    : m_entry(std::move(entry)),
      m_hash(ShortHash(m_entry.m_id)),
      m_pool(m_entry.m_address, kIdleConnection) {}

void RecordWorkTime(Upstream& upstream, double work_ms) {
  upstream.m_work_ms =
      upstream.m_work_ms == 0
          ? work_ms
          : upstream.m_work_ms * (1 - kNewWeight) + work_ms * kNewWeight;
}

}  // namespace bronzecross
