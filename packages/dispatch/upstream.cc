#include "dispatch/upstream.h"

#include "base/log.h"
#include "cluster/gossip_message.h"
#include "prompt_cache/prompt_cache_view.h"

namespace bronzecross {
namespace {

// How long an idle connection may be reused if the upstream sends no time-out.
constexpr Millis kIdleConnection{4'000};

}  // namespace

Upstream::Upstream(UpstreamEntry entry)
    : m_entry(std::move(entry)),
      m_hash(ShortHash(m_entry.m_id)),
      m_run_key(EngineRunKey(m_entry.m_id, m_entry.m_started)),
      m_pool(m_entry.m_address, kIdleConnection) {}

void MarkLeaving(Upstream& upstream) {
  if (upstream.m_leaving) {
    return;
  }
  upstream.m_leaving = true;
  upstream.m_pool.Clear();
  Log(Severity::kInfo, LogPart::kUpstreams,
      "An upstream says that it is leaving.",
      {{"upstream", upstream.m_entry.m_id}});
}

void RecordEvents(Upstream& upstream, PaceMeter& meter, int events) {
  if (events == 0) {
    return;
  }
  const Millis now = MonotonicNow();
  const std::optional<double> event_ms = MeasurePace(meter, events, now);
  if (event_ms) {
    if (!upstream.m_streams) {
      upstream.m_streams = true;
      upstream.m_pace = UpstreamPace();
    }
    RecordWorkTime(upstream.m_pace, *event_ms, now);
  }
}

void RecordRequestTime(Upstream& upstream, Millis time) {
  if (!upstream.m_streams) {
    RecordWorkTime(upstream.m_pace, static_cast<double>(time.count()) + 1,
                   MonotonicNow());
  }
}

std::vector<CandidateLoad> GetLoads(std::span<const UpstreamPtr> upstreams,
                                    std::string_view zone,
                                    Millis now) {
  std::vector<CandidateLoad> loads;
  std::vector<double> work_times;
  for (const UpstreamPtr& upstream : upstreams) {
    CandidateLoad& load = loads.emplace_back();
    load.m_slots = upstream->m_entry.m_slots;
    load.m_online = upstream->Online();
    load.m_batch = upstream->Batch();
    load.m_urgent = upstream->Urgent();
    load.m_work_ms = CurrentWorkMs(upstream->m_pace, now);
    load.m_same_zone = upstream->m_entry.m_zone == zone;
    load.m_usable = upstream->TakesRequests() &&
                    IsHealthy(upstream->m_health, kFirstByteTimeout, now);
    if (load.m_usable) {
      work_times.push_back(load.m_work_ms);
    }
  }
  const double reference = ReferenceWorkMs(work_times);
  for (size_t i = 0; i < loads.size(); ++i) {
    CandidateLoad& load = loads[i];
    if (!IsSlow(load.m_work_ms, reference)) {
      continue;
    }
    const int in_flight = load.m_online + load.m_batch;
    load.m_probe = IsProbeDue(upstreams[i]->m_pace, in_flight, now);
    load.m_slow = !load.m_probe;
    load.m_work_ms = load.m_probe ? reference : load.m_work_ms;
  }
  return loads;
}

}  // namespace bronzecross
