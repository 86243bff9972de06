#include "dispatch/upstream.h"

#include "base/log.h"
#include "base/metrics.h"
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

void RecordColdSend(Upstream& upstream, Millis now) {
  if (upstream.IsColdAt(now)) {
    TakeColdToken(upstream.m_cold_pacer, now);
    CountMetric("bronzecross_cold_sends_total");
  }
}

bool IsAvailable(const Upstream& upstream, Millis now) {
  return upstream.TakesRequests() &&
         IsHealthy(upstream.m_health, kFirstByteTimeout, now);
}

EngineMemory MemoryOf(const Upstream& upstream, Millis now) {
  EngineMemory memory;
  memory.m_capacity = upstream.m_memory_tokens;
  memory.m_in_flight = upstream.m_tokens + upstream.m_peer_tokens;
  memory.m_slots = upstream.m_entry.m_slots;
  // Upstreams of the subset are used by the own group, whose tokens are known.
  if (upstream.m_has_unknown_vms && !upstream.m_in_subset) {
    memory.m_unknown_requests = ReportedExtra(upstream.m_report, now);
  }
  return memory;
}

bool MayStartItem(const Upstream& upstream, int64_t tokens, Millis now) {
  CandidateLoad load;
  load.m_online = upstream.Online();
  load.m_batch = upstream.Batch();
  const EngineMemory memory = MemoryOf(upstream, now);
  load.m_free_tokens = FreeTokens(memory);
  return FitsMemoryAsItem(load, memory, BoundedTokens(tokens));
}

void AddItem(Upstream& upstream, int64_t tokens) {
  ++upstream.m_batch;
  upstream.m_tokens += BoundedTokens(tokens);
}

void RemoveItem(Upstream& upstream, int64_t tokens) {
  --upstream.m_batch;
  upstream.m_tokens -= BoundedTokens(tokens);
}

UpstreamUse MakeUse(const Upstream& upstream, Millis now) {
  UpstreamUse use;
  use.m_upstream = upstream.m_hash;
  use.m_online = upstream.m_online;
  use.m_batch = upstream.m_batch;
  use.m_urgent = upstream.m_urgent;
  use.m_work_ms = ReportedWorkMs(upstream.m_pace, now);
  const std::optional<MachineReport> machine =
      FreshMachineReport(upstream.m_report, now);
  if (machine) {
    use.m_machine_percent = machine->m_percent;
    use.m_machine_age = now - machine->m_time;
  }
  if (upstream.m_memory_tokens > 0) {
    use.m_tokens = upstream.m_tokens;
  }
  return use;
}

void RecordLoad(Upstream& upstream,
                const platform::UpstreamReportedLoad& load,
                Millis now) {
  RecordReport(upstream.m_report, load, upstream.Online() + upstream.Batch(),
               now);
  CountMetric("bronzecross_upstream_reports_total",
              {{"machine", load.m_machine_percent ? "yes" : "no"}});
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
                                    Millis now,
                                    const AllowedRegions& regions) {
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
    load.m_machine_percent = CurrentMachinePercent(upstream->m_report, now);
    load.m_reported_extra = upstream->m_has_unknown_vms
                                ? ReportedExtra(upstream->m_report, now)
                                : 0;
    load.m_free_tokens = FreeTokens(MemoryOf(*upstream, now));
    load.m_in_subset = upstream->m_in_subset;
    load.m_usable = IsAvailable(*upstream, now) &&
                    IsAllowedRegion(upstream->m_region, regions);
    load.m_cold = upstream->IsColdAt(now);
    if (load.m_cold && !HasColdToken(upstream->m_cold_pacer, now)) {
      load.m_cold_held = load.m_usable;
      load.m_usable = false;
    }
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
