#include "jobs/item_scheduler.h"

#include <algorithm>
#include <map>
#include <vector>

#include "aio/wait.h"
#include "base/log.h"
#include "base/random.h"
#include "jobs/batch_room.h"
#include "jobs/item_run.h"

namespace bronzecross {

// Tasks that are still running.
struct Countdown {
  size_t m_left = 0;
  Condition m_changed;
};

namespace {

// How often the scheduler looks for room without another cause.
constexpr Millis kScheduleEvery{100};

// What unfinished items have generated is saved at most so often, and if there
// is so much of it. A VM that is lost costs its items that much time.
constexpr Millis kSaveEvery{2'000};
constexpr int64_t kLeastSavedEvents = 60;

// After an item had to make room, no further one is started for so long: online
// requests are rising, and the other VMs' are known late.
constexpr Millis kPauseAfterYield{200};

// Time for one event of an engine, where it isn't measured.
constexpr double kTypicalEventMs = 32;

// Bytes of output listed in one write; the store's values hold up to a
// megabyte.
constexpr size_t kMostGroupBytes = 400 << 10;

// How long cancelled runs take to end.
constexpr Millis kCancelTime{10};

// Items that are due sooner than this don't leave room for waiting online
// requests.
constexpr Millis kUrgentBefore{7'000};

size_t GroupSize(const std::vector<JobResult>& results) {
  size_t bytes = 0;
  for (size_t i = 0; i < results.size(); ++i) {
    bytes += results[i].m_output.size();
    if (bytes > kMostGroupBytes && i > 0) {
      return i;
    }
  }
  return results.size();
}

}  // namespace

std::string ItemScheduler::ServiceOf(const Job& job) const {
  const FleetConfigPtr config = m_parts.m_config();
  const Route* route = config == nullptr
                           ? nullptr
                           : FindRouteByName(*config, job.m_spec.m_route);
  return route == nullptr ? ""
                          : std::string(DrawService(*route, ThreadRandom()));
}

int ItemScheduler::WaitingItems(std::string_view service, bool& urgent) const {
  const Millis now = MonotonicNow();
  const Millis wall = WallNow();
  int count = 0;
  for (auto entry = m_table.m_jobs.begin(); entry != m_table.m_jobs.end();
       ++entry) {
    const Job& job = *entry->second;
    if (!job.IsOpen() || job.m_ending || ServiceOf(job) != service) {
      continue;
    }
    for (const ItemProgress& progress : job.m_progress) {
      if (progress.m_phase == ItemPhase::kWaiting &&
          progress.m_not_before <= now) {
        ++count;
        urgent = urgent || (job.m_spec.m_due - wall < kUrgentBefore &&
                            job.m_spec.m_due > wall);
      }
    }
  }
  return count;
}

int ItemScheduler::WaitingElsewhere(std::string_view service) const {
  const uint32_t key = ShortHash(service);
  const Millis now = MonotonicNow();
  int count = 0;
  for (auto entry = m_parts.m_cluster.Peers().begin();
       entry != m_parts.m_cluster.Peers().end(); ++entry) {
    const PeerVm& peer = entry->second;
    if (!IsRecentlySeen(peer, now, kMaxGossipAge)) {
      continue;
    }
    for (const BatchBacklog& backlog : peer.m_gossip.m_backlogs) {
      count += backlog.m_service == key ? backlog.m_items : 0;
    }
  }
  return count;
}

ItemOutlook ItemScheduler::OutlookOf(const Job& job,
                                     size_t item,
                                     Millis wall) const {
  ItemOutlook outlook;
  outlook.m_until_due = job.m_spec.m_due - wall;
  outlook.m_events = job.m_progress[item].m_last_event + 1;
  outlook.m_expected_events = job.m_expected_events[item];
  outlook.m_event_ms = kTypicalEventMs;
  return outlook;
}

void ItemScheduler::CountUrgent() {
  for (auto entry = m_parts.m_upstreams.All().begin();
       entry != m_parts.m_upstreams.All().end(); ++entry) {
    entry->second->m_urgent = 0;
  }
  const Millis wall = WallNow();
  for (ItemRun& run : m_runs) {
    ItemOutlook outlook = OutlookOf(*run.m_job, run.m_item, wall);
    if (run.m_upstream->m_work_ms > 0) {
      outlook.m_event_ms = run.m_upstream->m_work_ms;
    }
    run.m_slack = Slack(outlook);
    run.m_is_urgent = IsUrgent(outlook);
    run.m_upstream->m_urgent += run.m_is_urgent ? 1 : 0;
  }
}

void ItemScheduler::StartItemsAt(Upstream& upstream,
                                 std::string_view service,
                                 int count) {
  const Millis now = MonotonicNow();
  const Millis wall = WallNow();
  for (; count > 0; --count) {
    // The item with the least time to spare that can still be in time.
    JobPtr best;
    size_t best_item = 0;
    Millis best_slack;
    for (auto entry = m_table.m_jobs.begin(); entry != m_table.m_jobs.end();
         ++entry) {
      const JobPtr& job = entry->second;
      if (!job->IsOpen() || job->m_ending || ServiceOf(*job) != service) {
        continue;
      }
      for (size_t i = 0; i < job->m_progress.size(); ++i) {
        if (job->m_progress[i].m_phase != ItemPhase::kWaiting ||
            job->m_progress[i].m_not_before > now) {
          continue;
        }
        const Millis slack = Slack(OutlookOf(*job, i, wall));
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
    best->m_progress[best_item].m_phase = ItemPhase::kRunning;
    m_runs.emplace_back();
    const std::list<ItemRun>::iterator run = std::prev(m_runs.end());
    run->m_job = best;
    run->m_item = best_item;
    run->m_upstream = upstream.shared_from_this();
    run->m_started = now;
    ++upstream.m_batch;
    Spawn(RunItemTask(run));
  }
}

Task<> ItemScheduler::RunItemTask(std::list<ItemRun>::iterator run) {
  const JobPtr job = run->m_job;
  ItemLimits limits;
  const FleetConfigPtr config = m_parts.m_config();
  const Route* route = config == nullptr
                           ? nullptr
                           : FindRouteByName(*config, job->m_spec.m_route);
  if (route != nullptr) {
    limits.m_max_failures = route->m_max_attempts;
  }
  co_await RunItem(*run, limits);
  --run->m_upstream->m_batch;
  m_runs.erase(run);
  m_parts.m_upstreams.Changed().NotifyAll();
  m_work_changed.NotifyAll();
}

void ItemScheduler::StartItems() {
  if (m_draining) {
    return;
  }
  const FleetConfigPtr config = m_parts.m_config();
  if (config == nullptr) {
    return;
  }
  const Millis now = MonotonicNow();
  for (const Service& service : config->m_services) {
    bool urgent = false;
    int own = WaitingItems(service.m_name, urgent);
    const bool is_rising = m_parts.m_online_waiting(service.m_name) > 0 ||
                           now - m_last_yield < kPauseAfterYield;
    if (own == 0 || (!urgent && is_rising)) {
      continue;
    }
    const int elsewhere = WaitingElsewhere(service.m_name);
    const std::vector<UpstreamPtr>& upstreams =
        m_parts.m_upstreams.OfService(service.m_name);
    const auto is_usable = [now](const UpstreamPtr& upstream) {
      return upstream->TakesRequests() &&
             IsHealthy(upstream->m_health, kSilencePatience, now);
    };
    // Other cells fill the upstreams that aren't near, whose load isn't known
    // here. They are used only if no near one is left.
    const bool has_near = std::any_of(
        upstreams.begin(), upstreams.end(), [&](const UpstreamPtr& upstream) {
          return upstream->m_is_near && is_usable(upstream);
        });
    for (const UpstreamPtr& upstream : upstreams) {
      if (own == 0) {
        break;
      }
      if ((has_near && !upstream->m_is_near) || !is_usable(upstream)) {
        continue;
      }
      const UpstreamRoom room{upstream->m_entry.m_slots, upstream->Online(),
                              upstream->Batch()};
      const int count =
          ShareOfRoom(FreeForBatch(room), own, own + elsewhere, ThreadRandom());
      StartItemsAt(*upstream, service.m_name, count);
      own -= count;
    }
  }
}

void ItemScheduler::YieldTo(Upstream& upstream) {
  ItemRun* best = nullptr;
  for (ItemRun& run : m_runs) {
    if (run.m_upstream.get() != &upstream || run.m_cancel.IsCancelled() ||
        run.m_is_urgent) {
      continue;
    }
    if (best == nullptr || RunsBefore(best->m_slack, run.m_slack)) {
      best = &run;
    }
  }
  if (best != nullptr) {
    best->m_cancel.Cancel();
    m_last_yield = MonotonicNow();
  }
}

void ItemScheduler::YieldOverfull() {
  const std::string& self = m_parts.m_cluster.Self().m_id;
  const Millis now = MonotonicNow();
  std::map<Upstream*, int> own;
  for (ItemRun& run : m_runs) {
    const bool may_yield = !run.m_cancel.IsCancelled() && !run.m_is_urgent;
    own[run.m_upstream.get()] += may_yield ? 1 : 0;
  }
  for (auto entry = own.begin(); entry != own.end(); ++entry) {
    Upstream& upstream = *entry->first;
    // Urgent items count like online requests here: they don't stand aside.
    const UpstreamRoom room{
        upstream.m_entry.m_slots, upstream.Online() + upstream.Urgent(),
        upstream.m_peer_batch - upstream.m_peer_urgent + entry->second};
    if (room.m_online + room.m_batch <= room.m_slots) {
      continue;
    }
    std::vector<VmBatch> batches = {{self, entry->second}};
    for (auto peer = m_parts.m_cluster.Peers().begin();
         peer != m_parts.m_cluster.Peers().end(); ++peer) {
      if (!IsRecentlySeen(peer->second, now, kMaxGossipAge)) {
        continue;
      }
      for (const UpstreamUse& use : peer->second.m_gossip.m_uses) {
        if (use.m_upstream == upstream.m_hash && use.m_batch > use.m_urgent) {
          batches.push_back({peer->first, use.m_batch - use.m_urgent});
        }
      }
    }
    const int count = ItemsToYield(room, self, batches);
    for (int i = 0; i < count; ++i) {
      YieldTo(upstream);
    }
  }
}

void ItemScheduler::CancelRuns(const Job& job) {
  for (ItemRun& run : m_runs) {
    if (run.m_job.get() == &job) {
      run.m_cancel.Cancel();
    }
  }
}

void ItemScheduler::Drop(Job& job) {
  job.m_dropped = true;
  CancelRuns(job);
  job.m_changed.NotifyAll();
  m_table.m_claims.Forget(job.m_spec.m_id);
  m_table.m_jobs.erase(job.m_spec.m_id);
}

void ItemScheduler::AbandonHopeless(Job& job) {
  const FleetConfigPtr config = m_parts.m_config();
  const bool route_gone =
      config != nullptr &&
      FindRouteByName(*config, job.m_spec.m_route) == nullptr;
  if (!route_gone && WallNow() < job.m_spec.m_retained_until) {
    return;
  }
  for (size_t i = 0; i < job.m_progress.size(); ++i) {
    if (job.m_progress[i].m_phase == ItemPhase::kWaiting) {
      Log(Severity::kInfo, LogPart::kBatch, "An item is given up.",
          {{"job", job.m_spec.m_id},
           {"item", job.m_spec.m_items[i].m_id},
           {"reason", route_gone ? "route removed" : "time over"}});
      FinishItem(job, i, JobResultState::kAbandoned);
    }
  }
}

Task<> ItemScheduler::CommitTask(JobPtr job) {
  job->m_is_committing = true;
  job->m_last_commit = MonotonicNow();
  const size_t count = GroupSize(job->m_unlisted);
  const WriteEnd end = co_await m_store.Commit(*job, count);
  job->m_is_committing = false;
  if (end != WriteEnd::kApplied) {
    Drop(*job);
    co_return;
  }
  for (size_t i = 0; i < count; ++i) {
    JobResult& result = job->m_unlisted[i];
    for (size_t k = 0; k < job->m_spec.m_items.size(); ++k) {
      if (job->m_spec.m_items[k].m_id == result.m_item) {
        job->m_progress[k].m_phase = ItemPhase::kListed;
      }
    }
    job->m_listed.push_back(std::move(result));
  }
  job->m_unlisted.erase(
      job->m_unlisted.begin(),
      job->m_unlisted.begin() + static_cast<ptrdiff_t>(count));
  if (!job->IsOpen()) {
    job->m_closed_at = MonotonicNow();
    Log(Severity::kInfo, LogPart::kBatch, "A job is done.",
        {{"job", job->m_spec.m_id},
         {"items", job->m_listed.size()},
         {"before_due_ms", job->m_spec.m_due - WallNow()}});
  }
  job->m_changed.NotifyAll();
  m_work_changed.NotifyAll();
}

void ItemScheduler::StartCommits() {
  const Millis now = MonotonicNow();
  const Millis wall = WallNow();
  std::vector<JobPtr> due;
  for (auto entry = m_table.m_jobs.begin(); entry != m_table.m_jobs.end();
       ++entry) {
    Job& job = *entry->second;
    if (!job.IsOpen() || job.m_ending) {
      continue;
    }
    AbandonHopeless(job);
    const bool is_last =
        job.m_listed.size() + job.m_unlisted.size() == job.m_progress.size();
    const bool lists =
        !job.m_unlisted.empty() &&
        (is_last ||
         now - job.m_last_commit >= ListingInterval(job.m_spec.m_due - wall));
    const bool saves =
        now - job.m_last_commit >= kSaveEvery &&
        CountPartialEvents(job) - job.m_saved_events >= kLeastSavedEvents;
    if (!job.m_is_committing && (lists || saves)) {
      due.push_back(entry->second);
    }
  }
  for (const JobPtr& job : due) {
    Spawn(CommitTask(job));
  }
}

void ItemScheduler::ForgetOld() {
  const Millis wall = WallNow();
  std::vector<JobPtr> old;
  for (auto entry = m_table.m_jobs.begin(); entry != m_table.m_jobs.end();
       ++entry) {
    const Job& job = *entry->second;
    if (!job.IsOpen() && !job.m_is_committing &&
        wall - job.m_spec.m_submitted > m_parts.m_retention) {
      old.push_back(entry->second);
    }
  }
  for (const JobPtr& job : old) {
    m_table.m_jobs.erase(job->m_spec.m_id);
    m_table.m_claims.Forget(job->m_spec.m_id);
    Spawn([](JobStore& store, std::string id, int64_t groups) -> Task<> {
      const Status removed = co_await store.Remove(id, groups);
      if (!removed) {
        LogError(Severity::kWarning, LogPart::kBatch,
                 "A finished job couldn't be removed.", removed.error());
      }
    }(m_store, job->m_spec.m_id, job->m_state.m_groups));
  }
  m_table.m_claims.Expire(MonotonicNow(), m_parts.m_retention);
}

Task<> ItemScheduler::Run() {
  for (;;) {
    StartCommits();
    CountUrgent();
    StartItems();
    ForgetOld();
    const Millis until = MonotonicNow() + kScheduleEvery;
    WaitAny wait(until);
    wait.Add(m_work_changed);
    co_await wait;
  }
}

Task<> ItemScheduler::ReleaseJob(JobPtr job,
                                 Millis deadline,
                                 Countdown& countdown) {
  co_await WaitForCommit(job, deadline);
  if (job->IsOpen() && !job->m_is_committing) {
    job->m_is_committing = true;
    const Result<WriteEnd> end = co_await m_store.Release(*job, deadline);
    Log(Severity::kInfo, LogPart::kBatch, "Released a job.",
        {{"job", job->m_spec.m_id},
         {"done", end && *end == WriteEnd::kApplied ? "yes" : "no"}});
    Drop(*job);
  }
  --countdown.m_left;
  countdown.m_changed.NotifyAll();
}

Task<> ItemScheduler::ReleaseAll(Millis deadline) {
  m_draining = true;
  for (ItemRun& run : m_runs) {
    run.m_cancel.Cancel();
  }
  co_await Sleep(kCancelTime);
  std::vector<JobPtr> open;
  for (auto entry = m_table.m_jobs.begin(); entry != m_table.m_jobs.end();
       ++entry) {
    if (entry->second->IsOpen()) {
      open.push_back(entry->second);
    }
  }
  Countdown countdown;
  countdown.m_left = open.size();
  for (const JobPtr& job : open) {
    Spawn(ReleaseJob(job, deadline, countdown));
  }
  while (countdown.m_left > 0) {
    WaitAny wait(kNever);
    wait.Add(countdown.m_changed);
    co_await wait;
  }
}

void ItemScheduler::AddToNews(GossipMessage& news) const {
  const FleetConfigPtr config = m_parts.m_config();
  if (config == nullptr) {
    return;
  }
  for (const Service& service : config->m_services) {
    bool urgent = false;
    const int waiting = WaitingItems(service.m_name, urgent);
    if (waiting > 0) {
      news.m_backlogs.push_back({ShortHash(service.m_name), waiting});
    }
  }
}

}  // namespace bronzecross
