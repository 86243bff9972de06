// State of one upstream at this VM.

#ifndef BRONZECROSS_DISPATCH_UPSTREAM_H_
#define BRONZECROSS_DISPATCH_UPSTREAM_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

#include "cluster/gossip_message.h"
#include "dispatch/engine_memory.h"
#include "dispatch/pick_upstream.h"
#include "dispatch/upstream_health.h"
#include "dispatch/upstream_pace.h"
#include "dispatch/upstream_report.h"
#include "fleet/upstream_entry.h"
#include "http1/connection_pool.h"
#include "placement/cold_senders.h"
#include "placement/cold_state.h"
#include "placement/home_regions.h"

namespace bronzecross {

// One incarnation of an upstream. The object outlives the registration while
// requests are running.
struct Upstream : std::enable_shared_from_this<Upstream> {
  explicit Upstream(UpstreamEntry entry);

  UpstreamEntry m_entry;
  uint32_t m_hash;  // ShortHash of the id
  // EngineRunKey, by which its cached prompts are predicted.
  const uint32_t m_run_key;
  // No longer registered, so it receives no new requests.
  bool m_deregistered = false;
  // A response said that it is about to stop. This holds for the rest of the
  // incarnation, whatever its registration says.
  bool m_leaving = false;
  // Its zone is evacuated, so it receives no new requests.
  bool m_evacuated = false;
  // Whether this VM's group prefers it (upstream_subset.h).
  bool m_in_subset = true;
  // Whether VMs use it of whose requests this VM doesn't hear by gossip.
  bool m_has_unknown_vms = false;

  std::string m_region;      // of its zone; empty: none
  ColdLimits m_cold_limits;  // of its service
  ColdState m_cold;
  ColdPacer m_cold_pacer;

  ConnectionPool m_pool;
  UpstreamHealth m_health;

  // Requests in flight from this VM.
  int m_online = 0;
  int m_batch = 0;
  int m_urgent = 0;  // batch items that online requests may not preempt
  // Requests in flight from the other VMs, from their latest gossip messages.
  int m_peer_online = 0;
  int m_peer_batch = 0;
  int m_peer_urgent = 0;
  // Tokens of these requests.
  int64_t m_tokens = 0;
  int64_t m_peer_tokens = 0;
  // By the configuration of its service; 0: unknown.
  int64_t m_memory_tokens = 0;
  UpstreamReport m_report;
  UpstreamPace m_pace;
  // Whether m_pace holds the times of events rather than of requests.
  bool m_streams = false;

  bool IsColdAt(Millis now) const { return IsCold(m_cold, m_cold_limits, now); }
  int Online() const { return m_online + m_peer_online; }
  int Batch() const { return m_batch + m_peer_batch; }
  int Urgent() const { return m_urgent + m_peer_urgent; }
  bool TakesRequests() const {
    return !m_deregistered && !m_leaving && !m_entry.m_draining && !m_evacuated;
  }
};

using UpstreamPtr = std::shared_ptr<Upstream>;

// Stops new requests to an upstream whose response says that it is leaving.
void MarkLeaving(Upstream& upstream);

// Counts a request that is placed at `upstream` against the rate of cold
// upstreams, if it is cold.
void RecordColdSend(Upstream& upstream, Millis now);

// Returns whether `upstream` is expected to answer a request.
bool IsAvailable(const Upstream& upstream, Millis now);

EngineMemory MemoryOf(const Upstream& upstream, Millis now);

// Returns whether a batch item of `tokens` may start at `upstream`.
bool MayStartItem(const Upstream& upstream, int64_t tokens, Millis now);

// Count a batch item of this VM at `upstream`, and its end.
void AddItem(Upstream& upstream, int64_t tokens);
void RemoveItem(Upstream& upstream, int64_t tokens);

// Returns what the other VMs should know of the use of `upstream` by this VM.
UpstreamUse MakeUse(const Upstream& upstream, Millis now);

// Stores the load that a response of `upstream` reports.
void RecordLoad(Upstream& upstream,
                const platform::UpstreamReportedLoad& load,
                Millis now);

// Adds the arrival of `events` events of one stream to the pace of `upstream`.
void RecordEvents(Upstream& upstream, PaceMeter& meter, int events);
// Adds the time of one request that isn't streamed. Ignored if the upstream
// streams, since the times of events and of requests can't be compared.
void RecordRequestTime(Upstream& upstream, Millis time);

// Returns the load of each upstream, and which of them are slow compared with
// the others. `zone` is the availability zone of this VM. Upstreams outside
// `regions` are not usable.
std::vector<CandidateLoad> GetLoads(std::span<const UpstreamPtr> upstreams,
                                    std::string_view zone,
                                    Millis now,
                                    const AllowedRegions& regions = {});

}  // namespace bronzecross

#endif  // BRONZECROSS_DISPATCH_UPSTREAM_H_
