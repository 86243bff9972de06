// One upstream as this VM sees it.

#ifndef BRONZECROSS_DISPATCH_UPSTREAM_H_
#define BRONZECROSS_DISPATCH_UPSTREAM_H_

#include <cstdint>
#include <memory>

#include "dispatch/upstream_health.h"
#include "fleet/upstream_entry.h"
#include "http1/connection_pool.h"

namespace bronzecross {

// One incarnation of an upstream. It outlives its entry while requests run.
struct Upstream : std::enable_shared_from_this<Upstream> {
  explicit Upstream(UpstreamEntry entry);

  UpstreamEntry m_entry;
  uint32_t m_hash;  // ShortHash of its id
  // No longer registered: it gets no new requests.
  bool m_gone = false;
  // Whether this VM's cell uses it first (near_upstreams.h).
  bool m_is_near = true;

  ConnectionPool m_pool;
  UpstreamHealth m_health;

  // Requests in flight from this VM.
  int m_online = 0;
  int m_batch = 0;
  int m_urgent = 0;  // of the batch items: those that don't stand aside
  // Requests in flight from the other VMs, by their latest news.
  int m_peer_online = 0;
  int m_peer_batch = 0;
  int m_peer_urgent = 0;
  // Moving average of the time that it takes for one request of plain services,
  // or for one event of engines, in milliseconds; zero: not measured.
  double m_work_ms = 0;

  int Online() const { return m_online + m_peer_online; }
  int Batch() const { return m_batch + m_peer_batch; }
  int Urgent() const { return m_urgent + m_peer_urgent; }
  bool TakesRequests() const { return !m_gone && !m_entry.m_draining; }
};

using UpstreamPtr = std::shared_ptr<Upstream>;

// Adds a measurement to the moving average.
void NoteWork(Upstream& upstream, double work_ms);

}  // namespace bronzecross

#endif  // BRONZECROSS_DISPATCH_UPSTREAM_H_
