// Starts batch items at the upstreams that have slots for them, and moves them
// away from slow ones.

#include <algorithm>

#include "base/random.h"
#include "jobs/batch_capacity.h"
#include "jobs/item_scheduler.h"

namespace bronzecross {
namespace {

// No item is started for this time after a preemption, unless a waiting item is
// urgent: the online load is rising, and that of other VMs is known with a
// delay.
constexpr Millis kPauseAfterPreemption{200};

// Items that are due within this time start even while online requests wait.
constexpr Millis kUrgentBeforeDue{7'000};

}  // namespace

int ItemScheduler::CountWaitingItems(std::string_view service,
                                     bool& urgent) const {
  const Millis now = MonotonicNow();
  const Millis boot_now = BootNow();
  const Millis wall = WallNow();
  int count = 0;
  for (auto entry = m_table.m_jobs.begin(); entry != m_table.m_jobs.end();
       ++entry) {
    const Job& job = *entry->second;
    if (!MayStartItems(job, boot_now) || SelectServiceFor(job) != service) {
      continue;
    }
    for (const ItemProgress& progress : job.m_progress) {
      if (progress.m_phase == BatchItemPhase::kWaiting &&
          progress.m_not_before <= now) {
        ++count;
        urgent = urgent || (job.m_spec.m_due - wall < kUrgentBeforeDue &&
                            job.m_spec.m_due > wall);
      }
    }
  }
  return count;
}

AllowedRegions ItemScheduler::RegionsOf(const Job& job,
                                        const FleetConfig& config) const {
  const Route* route = FindRouteByName(config, job.m_spec.m_route);
  return route == nullptr
             ? AllowedRegions()
             : AllowedRegionsOf(
                   *route, FindWorkspaceByName(config, job.m_spec.m_workspace));
}

std::vector<AllowedRegions> ItemScheduler::RegionsOfJobs(
    const FleetConfig& config) const {
  std::vector<AllowedRegions> all;
  for (auto entry = m_table.m_jobs.begin(); entry != m_table.m_jobs.end();
       ++entry) {
    if (!entry->second->IsOpen()) {
      continue;
    }
    const AllowedRegions regions = RegionsOf(*entry->second, config);
    const bool is_known = std::any_of(all.begin(), all.end(),
                                      [&regions](const AllowedRegions& known) {
                                        return HasSameRegions(known, regions);
                                      });
    if (!is_known) {
      all.push_back(regions);
    }
  }
  return all;
}

int ItemScheduler::CountWaitingItemsIn(const AllowedRegions& regions,
                                       std::string_view service,
                                       const FleetConfig& config) const {
  const Millis now = MonotonicNow();
  const Millis boot_now = BootNow();
  int count = 0;
  for (auto entry = m_table.m_jobs.begin(); entry != m_table.m_jobs.end();
       ++entry) {
    const Job& job = *entry->second;
    if (!MayStartItems(job, boot_now) || SelectServiceFor(job) != service ||
        !HasSameRegions(RegionsOf(job, config), regions)) {
      continue;
    }
    for (const ItemProgress& progress : job.m_progress) {
      count += progress.m_phase == BatchItemPhase::kWaiting &&
                       progress.m_not_before <= now
                   ? 1
                   : 0;
    }
  }
  return count;
}

int ItemScheduler::CountWaitingAtPeers(std::string_view service) const {
  const uint32_t key = ShortHash(service);
  const Millis now = MonotonicNow();
  int count = 0;
  m_dependencies.m_cluster.ForEachGroupPeer(
      [&](std::string_view, const PeerVm& peer) {
        if (!IsRecentlySeen(peer, now, kMaxGossipAge)) {
          return;
        }
        for (const BatchBacklog& backlog : peer.m_gossip.m_backlogs) {
          count += backlog.m_service == key ? backlog.m_items : 0;
        }
      });
  return count;
}

void ItemScheduler::StartItemsAt(Upstream& upstream,
                                 std::string_view service,
                                 const AllowedRegions& regions,
                                 const FleetConfig& config,
                                 int count) {
  const Millis now = MonotonicNow();
  const Millis boot_now = BootNow();
  const Millis wall = WallNow();
  for (; count > 0; --count) {
    // The first item in the order of RunsBefore().
    JobPtr best;
    size_t best_item = 0;
    Millis best_slack;
    for (auto entry = m_table.m_jobs.begin(); entry != m_table.m_jobs.end();
         ++entry) {
      const JobPtr& job = entry->second;
      if (!MayStartItems(*job, boot_now) || SelectServiceFor(*job) != service ||
          !HasSameRegions(RegionsOf(*job, config), regions)) {
        continue;
      }
      for (size_t i = 0; i < job->m_progress.size(); ++i) {
        if (job->m_progress[i].m_phase != BatchItemPhase::kWaiting ||
            job->m_progress[i].m_not_before > now ||
            !MayStartItem(upstream, job->m_spec.m_items[i].m_tokens, now)) {
          continue;
        }
        const Millis slack = Slack(EstimateItem(*job, i, wall));
        if (best == nullptr || RunsBefore(slack, best_slack)) {
          best = job;
          best_item = i;
          best_slack = slack;
        }
      }
    }
    if (best == nullptr) {
      return;
    }
    best->m_progress[best_item].m_phase = BatchItemPhase::kRunning;
    m_runs.emplace_back();
    const std::list<ItemRun>::iterator run = std::prev(m_runs.end());
    run->m_job = best;
    run->m_item = best_item;
    run->m_upstream = upstream.shared_from_this();
    run->m_started = now;
    RecordColdSend(upstream, now);
    AddItem(upstream, best->m_spec.m_items[best_item].m_tokens);
    m_dependencies.m_upstreams.MarkInUse(run->m_upstream);
    Spawn(RunItemTask(run));
  }
}

const std::vector<UpstreamPtr>& ItemScheduler::BatchCandidates(
    std::string_view service,
    const AllowedRegions& regions) const {
  const Millis now = MonotonicNow();
  const std::vector<UpstreamPtr>& subset =
      m_dependencies.m_upstreams.SubsetOf(service);
  // The load that other VM groups put on the remaining upstreams is unknown, so
  // those are used only if none of the subset is usable.
  const bool has_usable = std::any_of(
      subset.begin(), subset.end(), [&](const UpstreamPtr& upstream) {
        return IsAvailable(*upstream, now) &&
               IsAllowedRegion(upstream->m_region, regions);
      });
  return has_usable ? subset : m_dependencies.m_upstreams.OfService(service);
}

void ItemScheduler::MoveItemsFromSlowUpstreams() {
  const FleetConfigPtr config = m_dependencies.m_config();
  if (m_runs.empty() || m_draining || config == nullptr) {
    return;
  }
  const Millis now = MonotonicNow();
  for (const Service& service : config->m_services) {
    const std::vector<UpstreamPtr>& upstreams =
        BatchCandidates(service.m_name, AllowedRegions());
    const std::vector<CandidateLoad> loads = GetLoads(upstreams, "", now);
    int free = 0;
    for (const CandidateLoad& load : loads) {
      free += load.m_probe || load.m_cold ? 0 : CountFreeBatchSlots(load);
    }
    for (ItemRun& run : m_runs) {
      const auto found =
          std::find(upstreams.begin(), upstreams.end(), run.m_upstream);
      // The free slots may be in regions where the item must not run.
      if (free > 0 && found != upstreams.end() && !run.m_cancel.IsCancelled() &&
          loads[static_cast<size_t>(found - upstreams.begin())].m_slow &&
          !RegionsOf(*run.m_job, *config).IsLimited()) {
        run.m_cancel.Cancel();
        --free;
      }
    }
  }
}

void ItemScheduler::StartItemsIn(const AllowedRegions& regions,
                                 std::string_view service,
                                 const FleetConfig& config,
                                 int own) {
  const int at_peers = CountWaitingAtPeers(service);
  const std::vector<UpstreamPtr>& upstreams = BatchCandidates(service, regions);
  const std::vector<CandidateLoad> loads =
      GetLoads(upstreams, "", MonotonicNow(), regions);
  const std::vector<int> starts =
      PlanItemStarts(loads, own, own + at_peers, ThreadRandom());
  for (size_t i = 0; i < starts.size(); ++i) {
    StartItemsAt(*upstreams[i], service, regions, config, starts[i]);
  }
}

void ItemScheduler::StartItems() {
  if (m_draining) {
    return;
  }
  const FleetConfigPtr config = m_dependencies.m_config();
  const Millis now = MonotonicNow();
  if (config == nullptr || m_dependencies.m_upstreams.IsHeldAt(now)) {
    return;
  }
  for (const Service& service : config->m_services) {
    bool urgent = false;
    const int own = CountWaitingItems(service.m_name, urgent);
    const bool is_rising =
        m_dependencies.m_online_waiting(service.m_name) > 0 ||
        now - m_last_preemption < kPauseAfterPreemption;
    if (own == 0 || (!urgent && is_rising)) {
      continue;
    }
    if (!config->m_has_homes) {
      StartItemsIn(AllowedRegions(), service.m_name, *config, own);
      continue;
    }
    for (const AllowedRegions& regions : RegionsOfJobs(*config)) {
      StartItemsIn(regions, service.m_name, *config,
                   CountWaitingItemsIn(regions, service.m_name, *config));
    }
  }
}

}  // namespace bronzecross
