#include "jobs/item_scheduler.h"

#include <algorithm>
#include <map>
#include <vector>

#include "aio/wait.h"
#include "base/log.h"
#include "base/random.h"
#include "jobs/batch_capacity.h"
#include "jobs/item_run.h"

namespace bronzecross {

// Counts tasks that are still running, so that their starter can wait for them.
struct TaskLatch {
  size_t m_pending = 0;
  Condition m_changed;
};

namespace {

// Interval of the scheduler's passes if no event causes one earlier.
constexpr Millis kScheduleInterval{100};

// Partial outputs are saved at most once in this interval, and only after this
// many new events or a failed attempt. If the VM is lost, its items repeat that
// much work.
constexpr Millis kSaveInterval{3'000};
constexpr int64_t kMinSavedEvents = 60;

// Milliseconds for one event of an inference engine without a measured value.
constexpr double kDefaultEventMs = 32;

// Wait for cancelled runs to end.
constexpr Millis kCancelWait{10};

}  // namespace

std::string ItemScheduler::SelectServiceFor(const Job& job) const {
  const FleetConfigPtr config = m_dependencies.m_config();
  const Route* route = config == nullptr
                           ? nullptr
                           : FindRouteByName(*config, job.m_spec.m_route);
  return route == nullptr ? ""
                          : std::string(PickService(*route, ThreadRandom()));
}

bool ItemScheduler::MayStartItems(const Job& job, Millis boot_now) const {
  return job.IsOpen() && !job.m_may_be_cancelled &&
         m_ownership.IsCertain(job, boot_now);
}

ItemEstimate ItemScheduler::EstimateItem(const Job& job,
                                         size_t item,
                                         Millis wall) const {
  ItemEstimate estimate;
  estimate.m_until_due = job.m_spec.m_due - wall;
  estimate.m_events = job.m_progress[item].m_last_event + 1;
  estimate.m_expected_events = job.m_expected_events[item];
  estimate.m_event_ms = kDefaultEventMs;
  return estimate;
}

void ItemScheduler::UpdateUrgency() {
  for (const UpstreamPtr& upstream : m_with_urgent) {
    upstream->m_urgent = 0;
  }
  m_with_urgent.clear();
  const Millis now = MonotonicNow();
  const Millis wall = WallNow();
  for (ItemRun& run : m_runs) {
    ItemEstimate estimate = EstimateItem(*run.m_job, run.m_item, wall);
    const double event_ms = CurrentWorkMs(run.m_upstream->m_pace, now);
    if (event_ms > 0) {
      estimate.m_event_ms = event_ms;
    }
    run.m_slack = Slack(estimate);
    run.m_is_urgent = IsUrgent(estimate);
    if (run.m_is_urgent) {
      ++run.m_upstream->m_urgent;
      m_with_urgent.push_back(run.m_upstream);
    }
  }
}

Task<> ItemScheduler::RunItemTask(std::list<ItemRun>::iterator run) {
  const JobPtr job = run->m_job;
  ItemLimits limits;
  const FleetConfigPtr config = m_dependencies.m_config();
  const Route* route = config == nullptr
                           ? nullptr
                           : FindRouteByName(*config, job->m_spec.m_route);
  if (route != nullptr) {
    limits.m_max_failures = route->m_max_attempts;
  }
  co_await RunItem(*run, limits);
  RemoveItem(*run->m_upstream, job->m_spec.m_items[run->m_item].m_tokens);
  m_runs.erase(run);
  m_dependencies.m_upstreams.Changed().NotifyAll();
  m_work_changed.NotifyAll();
}

void ItemScheduler::PreemptItemAt(Upstream& upstream) {
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
    m_last_preemption = MonotonicNow();
  }
}

void ItemScheduler::PreemptAtOverfullUpstreams() {
  const std::string& self = m_dependencies.m_cluster.Self().m_id;
  const Millis now = MonotonicNow();
  std::map<Upstream*, int> own;
  for (ItemRun& run : m_runs) {
    const bool is_preemptible = !run.m_cancel.IsCancelled() && !run.m_is_urgent;
    own[run.m_upstream.get()] += is_preemptible ? 1 : 0;
  }
  for (auto entry = own.begin(); entry != own.end(); ++entry) {
    Upstream& upstream = *entry->first;
    // Urgent items count as online requests here, as they are not preempted.
    const UpstreamCapacity capacity{
        upstream.m_entry.m_slots, upstream.Online() + upstream.Urgent(),
        upstream.m_peer_batch - upstream.m_peer_urgent + entry->second};
    if (capacity.m_online + capacity.m_batch <= capacity.m_slots) {
      continue;
    }
    std::vector<VmBatchItems> batches = {{self, entry->second}};
    m_dependencies.m_cluster.ForEachGroupPeer([&](std::string_view id,
                                                  const PeerVm& peer) {
      if (!IsRecentlySeen(peer, now, kMaxGossipAge)) {
        return;
      }
      for (const UpstreamUse& use : peer.m_gossip.m_uses) {
        if (use.m_upstream == upstream.m_hash && use.m_batch > use.m_urgent) {
          batches.push_back({std::string(id), use.m_batch - use.m_urgent});
        }
      }
    });
    const int count = CountItemsToPreempt(capacity, self, batches);
    for (int i = 0; i < count; ++i) {
      PreemptItemAt(upstream);
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
  // The job may have been taken back meanwhile, as another object.
  const auto found = m_table.m_jobs.find(job.m_spec.m_id);
  if (found != m_table.m_jobs.end() && found->second.get() == &job) {
    m_table.m_unsettled.emplace(job.m_spec.m_id, MonotonicNow());
    m_table.m_jobs.erase(found);
  }
}

void ItemScheduler::AbandonUnservableItems(Job& job) {
  const FleetConfigPtr config = m_dependencies.m_config();
  const bool route_gone =
      config != nullptr &&
      FindRouteByName(*config, job.m_spec.m_route) == nullptr;
  if (!route_gone && RetentionLeft(job, BootNow()) > Millis()) {
    return;
  }
  for (size_t i = 0; i < job.m_progress.size(); ++i) {
    if (job.m_progress[i].m_phase == BatchItemPhase::kWaiting) {
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
  const size_t count = ResultGroupSize(job->m_unlisted);
  const WriteOutcome outcome = co_await m_store.Commit(*job, count);
  job->m_is_committing = false;
  if (outcome != WriteOutcome::kApplied) {
    Drop(*job);
    co_return;
  }
  for (size_t i = 0; i < count; ++i) {
    JobResult& result = job->m_unlisted[i];
    for (size_t k = 0; k < job->m_spec.m_items.size(); ++k) {
      if (job->m_spec.m_items[k].m_id == result.m_item) {
        job->m_progress[k].m_phase = BatchItemPhase::kListed;
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
    if (!job.IsOpen() || job.m_may_be_cancelled) {
      continue;
    }
    AbandonUnservableItems(job);
    const bool is_last =
        job.m_listed.size() + job.m_unlisted.size() == job.m_progress.size();
    const bool lists =
        !job.m_unlisted.empty() &&
        (is_last ||
         now - job.m_last_commit >= ListingInterval(job.m_spec.m_due - wall));
    const bool saves =
        now - job.m_last_commit >= kSaveInterval &&
        (CountPartialEvents(job) - job.m_saved_events >= kMinSavedEvents ||
         CountFailures(job) > job.m_saved_failures);
    if (!job.m_is_committing && (lists || saves)) {
      due.push_back(entry->second);
    }
  }
  for (const JobPtr& job : due) {
    Spawn(CommitTask(job));
  }
}

void ItemScheduler::RemoveExpiredJobs() {
  const Millis boot_now = BootNow();
  std::vector<JobPtr> expired;
  for (auto entry = m_table.m_jobs.begin(); entry != m_table.m_jobs.end();
       ++entry) {
    const Job& job = *entry->second;
    if (!job.IsOpen() && !job.m_is_committing &&
        AgeOf(job, boot_now) > m_dependencies.m_retention) {
      expired.push_back(entry->second);
    }
  }
  for (const JobPtr& job : expired) {
    m_table.m_jobs.erase(job->m_spec.m_id);
    m_table.m_claims.Forget(job->m_spec.m_id);
    Spawn([](BatchJobStore& store, std::string id, int64_t groups) -> Task<> {
      const Status removed = co_await store.Remove(id, groups);
      if (!removed) {
        LogError(Severity::kWarning, LogPart::kBatch,
                 "A finished job couldn't be removed.", removed.error());
      }
    }(m_store, job->m_spec.m_id, job->m_state.m_groups));
  }
  m_table.m_claims.Expire(MonotonicNow(), m_dependencies.m_retention);
}

Task<> ItemScheduler::ConfirmTask(JobPtr job) {
  const bool is_certain = co_await m_ownership.Confirm(job);
  if (is_certain) {
    m_work_changed.NotifyAll();
  }
}

void ItemScheduler::ConfirmJobs() {
  if (m_dependencies.m_kv.IsUnreachable()) {
    return;
  }
  const Millis boot_now = BootNow();
  std::vector<JobPtr> uncertain;
  for (auto entry = m_table.m_jobs.begin(); entry != m_table.m_jobs.end();
       ++entry) {
    const Job& job = *entry->second;
    if (job.IsOpen() && !job.m_is_confirming &&
        !m_ownership.IsCertain(job, boot_now)) {
      uncertain.push_back(entry->second);
    }
  }
  for (const JobPtr& job : uncertain) {
    Spawn(ConfirmTask(job));
  }
}

Task<> ItemScheduler::Run() {
  for (;;) {
    m_ownership.Update();
    ConfirmJobs();
    StartCommits();
    UpdateUrgency();
    MoveItemsFromSlowUpstreams();
    StartItems();
    RemoveExpiredJobs();
    const Millis until = MonotonicNow() + kScheduleInterval;
    WaitAny wait(until);
    wait.Add(m_work_changed);
    co_await wait;
  }
}

Task<> ItemScheduler::ReleaseJob(JobPtr job,
                                 Millis deadline,
                                 TaskLatch& latch) {
  co_await WaitForCommit(job, deadline);
  if (job->IsOpen() && !job->m_is_committing) {
    job->m_is_committing = true;
    const Result<WriteOutcome> outcome =
        co_await m_store.Release(*job, deadline);
    Log(Severity::kInfo, LogPart::kBatch, "Released a job.",
        {{"job", job->m_spec.m_id},
         {"done",
          outcome && *outcome == WriteOutcome::kApplied ? "yes" : "no"}});
    Drop(*job);
  }
  --latch.m_pending;
  latch.m_changed.NotifyAll();
}

Task<> ItemScheduler::ReleaseAll(Millis deadline) {
  m_draining = true;
  for (ItemRun& run : m_runs) {
    run.m_cancel.Cancel();
  }
  co_await Sleep(kCancelWait);
  std::vector<JobPtr> open;
  for (auto entry = m_table.m_jobs.begin(); entry != m_table.m_jobs.end();
       ++entry) {
    if (entry->second->IsOpen()) {
      open.push_back(entry->second);
    }
  }
  TaskLatch latch;
  latch.m_pending = open.size();
  for (const JobPtr& job : open) {
    Spawn(ReleaseJob(job, deadline, latch));
  }
  while (latch.m_pending > 0) {
    WaitAny wait(kNever);
    wait.Add(latch.m_changed);
    co_await wait;
  }
}

void ItemScheduler::AddToGossip(GossipMessage& gossip) const {
  const FleetConfigPtr config = m_dependencies.m_config();
  if (config == nullptr) {
    return;
  }
  for (const Service& service : config->m_services) {
    bool urgent = false;
    const int waiting = CountWaitingItems(service.m_name, urgent);
    if (waiting > 0) {
      gossip.m_backlogs.push_back({ShortHash(service.m_name), waiting});
    }
  }
}

}  // namespace bronzecross
