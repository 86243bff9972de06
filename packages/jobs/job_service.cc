#include "jobs/job_service.h"

#include <algorithm>

#include "aio/wait.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/random.h"
#include "base/text.h"
#include "jobs/batch_room.h"
#include "jobs/item_run.h"

namespace bronzecross {

// A job whose creation is under way.
struct PendingCreate {
  bool m_done = false;
  bool m_may_exist = false;  // a write was sent whose effect isn't known
  bool m_given_up = false;   // the next definite refusal ends the attempts
  bool m_refused = false;    // ended: the job doesn't exist and won't
  Result<WriteEnd> m_end = WriteEnd::kApplied;
  Condition m_changed;
};

namespace {

// How often the scheduler looks for room without another cause.
constexpr Millis kScheduleEvery{100};

// Finished items of a job are listed together, at most so often, since each
// write to the store is priced.
constexpr Millis kCommitEvery{600};

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

// Bytes of output in one page of results.
constexpr size_t kMostPageBytes = 800 << 10;

// How often orphaned jobs are looked for, and how often the store is asked for
// open jobs that nobody has told of.
constexpr Millis kTakeoverEvery{500};
constexpr Millis kScanEvery{15'000};

// Pause after the first scan, whose orphans another VM may have failed to take.
constexpr Millis kFirstScanPause{2'500};

// After its start a VM waits this long before it judges which VMs are alive.
constexpr Millis kSettleTime{700};

// Pause between repeats of a refused creation.
constexpr Millis kCreatePause{120};

// A definite refusal by the store is passed on after this, so that the
// submitter can go to another VM in time.
constexpr Millis kRefuseAfter{350};

// How long cancelled runs take to end.
constexpr Millis kCancelTime{10};

// A job's owner mentions it in its news for so long after it was closed.
constexpr Millis kMentionClosed{3'000};

// A submitter over its cap is best back when some of its items are finished.
constexpr Millis kRetryOverCap{1'000};
constexpr Millis kRetryStore{500};

// Items that are due sooner than this don't leave room for waiting online
// requests.
constexpr Millis kUrgentBefore{7'000};

uint32_t RouteWorkspaceHash(std::string_view route,
                            std::string_view workspace) {
  return ShortHash(Concat(route, "\n", workspace));
}

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

ResultPage MakePage(int64_t total,
                    const std::vector<JobResult>& listed,
                    int64_t after) {
  ResultPage page;
  page.m_total = total;
  size_t bytes = 0;
  for (size_t i = static_cast<size_t>(std::max<int64_t>(after, 0));
       i < listed.size(); ++i) {
    bytes += listed[i].m_output.size();
    if (!page.m_results.empty() && bytes > kMostPageBytes) {
      break;
    }
    page.m_results.push_back(listed[i]);
  }
  return page;
}

tl::unexpected<Error> FailNoJob() {
  return Fail(ResultCode::kNotFound, "there is no such job");
}

}  // namespace

JobService::JobService(Parts parts)
    : m_parts(std::move(parts)),
      m_store(m_parts.m_kv, m_parts.m_cluster.Self()) {}

bool JobService::IsOwner(std::string_view id) const {
  return m_jobs.find(id) != m_jobs.end();
}

std::string JobService::OwnerOf(std::string_view id) const {
  const JobClaim* claim = m_claims.Find(id);
  return claim == nullptr ? "" : claim->m_owner;
}

int64_t JobService::WaitingTokensOf(std::string_view workspace,
                                    std::string_view route) const {
  int64_t tokens = 0;
  for (auto entry = m_jobs.begin(); entry != m_jobs.end(); ++entry) {
    const Job& job = *entry->second;
    if (job.IsOpen() && job.m_spec.m_workspace == workspace &&
        job.m_spec.m_route == route) {
      tokens += CountUnfinishedTokens(job);
    }
  }
  const uint32_t key = RouteWorkspaceHash(route, workspace);
  const Millis now = MonotonicNow();
  for (auto entry = m_parts.m_cluster.Peers().begin();
       entry != m_parts.m_cluster.Peers().end(); ++entry) {
    const PeerVm& peer = entry->second;
    if (peer.m_heard == Millis() || now - peer.m_heard > kHeardWindow) {
      continue;
    }
    for (const WaitingTokens& waiting : peer.m_news.m_waiting_tokens) {
      tokens += waiting.m_route_workspace == key ? waiting.m_tokens : 0;
    }
  }
  return tokens;
}

Task<> JobService::CreateTask(JobPtr job,
                              std::shared_ptr<PendingCreate> pending) {
  for (;;) {
    Result<WriteEnd> end = co_await m_store.Create(*job);
    if (end || end.error().m_code == ResultCode::kCorrupt) {
      pending->m_end = std::move(end);
      break;
    }
    pending->m_may_exist =
        pending->m_may_exist || end.error().m_run == RunState::kUnknown;
    if (pending->m_given_up && !pending->m_may_exist) {
      pending->m_refused = true;
      pending->m_changed.NotifyAll();
      co_return;
    }
    co_await Sleep(kCreatePause);
  }
  pending->m_done = true;
  pending->m_changed.NotifyAll();
  if (pending->m_end && *pending->m_end == WriteEnd::kApplied) {
    Log(Severity::kInfo, LogPart::kBatch, "Accepted a job.",
        {{"job", job->m_spec.m_id},
         {"workspace", job->m_spec.m_workspace},
         {"items", job->m_spec.m_items.size()},
         {"revision", job->m_state_revision}});
    Activate(job);
  }
}

Task<Status> JobService::Submit(JobSpec spec,
                                int64_t waiting_cap,
                                Millis deadline) {
  const JobClaim* claim = m_claims.Find(spec.m_id);
  const bool is_known = IsOwner(spec.m_id) || claim != nullptr;
  int64_t tokens = 0;
  for (const JobItem& item : spec.m_items) {
    tokens += item.m_tokens;
  }
  if (!is_known && waiting_cap > 0) {
    const int64_t waiting = WaitingTokensOf(spec.m_workspace, spec.m_route);
    if (waiting + tokens > waiting_cap) {
      Log(Severity::kInfo, LogPart::kBatch, "A job is over the cap.",
          {{"job", spec.m_id},
           {"waiting", waiting},
           {"tokens", tokens},
           {"cap", waiting_cap}});
      Error error;
      error.m_code = ResultCode::kRateLimited;
      error.m_message = "too many tokens wait in this workspace";
      error.m_retry_after = kRetryOverCap;
      co_return tl::unexpected<Error>(error);
    }
  }
  JobState state;
  state.m_owner = m_parts.m_cluster.Self().m_id;
  state.m_owner_incarnation = m_parts.m_cluster.Self().m_incarnation;
  state.m_workspace = spec.m_workspace;
  state.m_total = static_cast<int64_t>(spec.m_items.size());
  state.m_write_id = RandomId();
  const std::string workspace = spec.m_workspace;
  std::vector<JobResult> none;
  JobPtr job = MakeJob(std::move(spec), std::move(state), 0, std::move(none));
  std::shared_ptr<PendingCreate> pending = std::make_shared<PendingCreate>();
  const Millis refuse_at = MonotonicNow() + kRefuseAfter;
  Spawn(CreateTask(job, pending));
  while (!pending->m_done) {
    const Millis now = MonotonicNow();
    pending->m_given_up = now >= refuse_at;
    if (now >= deadline) {
      break;
    }
    WaitAny wait(pending->m_given_up ? deadline
                                     : std::min(refuse_at, deadline));
    wait.Add(pending->m_changed);
    co_await wait;
    if (pending->m_refused) {
      Error error;
      error.m_code = ResultCode::kStoreUnavailable;
      error.m_message = "the store refuses the job";
      error.m_retry_after = kRetryStore;
      co_return tl::unexpected<Error>(error);
    }
  }
  if (!pending->m_done) {
    co_return FailMayHaveRun(ResultCode::kDeadlineExceeded,
                             "it isn't known whether the job was kept");
  }
  if (!pending->m_end) {
    co_return tl::unexpected<Error>(pending->m_end.error());
  }
  if (job->m_state.m_workspace != workspace) {
    co_return Fail(ResultCode::kConflict, "the job's id is in use");
  }
  co_return Status();
}

void JobService::Activate(JobPtr job) {
  m_claims.Note(
      job->m_spec.m_id,
      JobClaim{m_parts.m_cluster.Self().m_id,
               m_parts.m_cluster.Self().m_incarnation, true, MonotonicNow()});
  m_jobs[job->m_spec.m_id] = job;
  m_parts.m_send_news();
  StartItems();
}

void JobService::CancelRuns(const Job& job) {
  for (ItemRun& run : m_runs) {
    if (run.m_job.get() == &job) {
      run.m_cancel.Cancel();
    }
  }
}

void JobService::Drop(Job& job) {
  job.m_dropped = true;
  CancelRuns(job);
  job.m_changed.NotifyAll();
  m_claims.Forget(job.m_spec.m_id);
  m_jobs.erase(job.m_spec.m_id);
}

Task<Result<ResultPage>> JobService::Read(std::string id,
                                          std::string workspace,
                                          int64_t after,
                                          Millis wait_time) {
  const auto found = m_jobs.find(id);
  if (found != m_jobs.end()) {
    const JobPtr job = found->second;
    if (job->m_spec.m_workspace != workspace) {
      co_return FailNoJob();
    }
    const Millis until = MonotonicNow() + wait_time;
    while (static_cast<int64_t>(job->m_listed.size()) <= after &&
           job->IsOpen() && MonotonicNow() < until) {
      WaitAny wait(until);
      wait.Add(job->m_changed);
      co_await wait;
    }
    co_return MakePage(job->m_state.m_total, job->m_listed, after);
  }
  const Result<StoredState> stored = co_await m_store.ReadState(id);
  if (!stored) {
    co_return tl::unexpected<Error>(stored.error());
  }
  const JobState& state = stored->m_state;
  if (state.m_workspace != workspace) {
    co_return FailNoJob();
  }
  m_claims.Note(id, JobClaim{state.m_owner, state.m_owner_incarnation,
                             state.m_phase == JobPhase::kOpen, MonotonicNow()});
  if (state.m_listed <= after) {
    co_return MakePage(state.m_total, std::vector<JobResult>(), after);
  }
  const Result<std::vector<JobResult>> results =
      co_await m_store.ReadResults(id);
  if (!results) {
    co_return tl::unexpected<Error>(results.error());
  }
  co_return MakePage(state.m_total, *results, after);
}

Task<Result<std::string>> JobService::ReadBody(std::string id,
                                               std::string workspace,
                                               std::string item) {
  const auto found = m_jobs.find(id);
  if (found != m_jobs.end()) {
    const Job& job = *found->second;
    if (job.m_spec.m_workspace != workspace || !job.IsOpen() || job.m_ending) {
      co_return FailNoJob();
    }
    for (size_t i = 0; i < job.m_spec.m_items.size(); ++i) {
      if (job.m_spec.m_items[i].m_id == item &&
          job.m_progress[i].m_phase != ItemPhase::kListed) {
        co_return job.m_spec.m_items[i].m_body;
      }
    }
    co_return FailNoJob();
  }
  const Result<StoredState> stored = co_await m_store.ReadState(id);
  if (!stored) {
    co_return tl::unexpected<Error>(stored.error());
  }
  if (stored->m_state.m_workspace != workspace ||
      stored->m_state.m_phase != JobPhase::kOpen) {
    co_return FailNoJob();
  }
  const Result<JobSpec> spec = co_await m_store.ReadSpec(id);
  if (!spec) {
    co_return tl::unexpected<Error>(spec.error());
  }
  const Result<std::vector<JobResult>> results =
      co_await m_store.ReadResults(id);
  if (!results) {
    co_return tl::unexpected<Error>(results.error());
  }
  for (const JobResult& result : *results) {
    if (result.m_item == item) {
      co_return FailNoJob();
    }
  }
  for (const JobItem& entry : spec->m_items) {
    if (entry.m_id == item) {
      co_return entry.m_body;
    }
  }
  co_return FailNoJob();
}

Task<Result<WriteEnd>> JobService::EndOwn(JobPtr job, Millis deadline) {
  job->m_ending = true;
  CancelRuns(*job);
  while (job->m_is_committing && MonotonicNow() < deadline) {
    WaitAny wait(deadline);
    wait.Add(job->m_changed);
    co_await wait;
  }
  if (!job->IsOpen()) {
    co_return WriteEnd::kApplied;
  }
  if (job->m_is_committing) {
    co_return FailMayHaveRun(ResultCode::kStoreUnavailable,
                             "a write about the job isn't acknowledged");
  }
  job->m_is_committing = true;
  Result<WriteEnd> end = co_await m_store.End(*job, deadline);
  job->m_is_committing = false;
  job->m_closed_at = MonotonicNow();
  job->m_changed.NotifyAll();
  co_return end;
}

Task<Status> JobService::EndOther(std::string id, std::string workspace) {
  const Result<StoredState> stored = co_await m_store.ReadState(id);
  if (!stored) {
    co_return tl::unexpected<Error>(stored.error());
  }
  if (stored->m_state.m_workspace != workspace) {
    co_return FailNoJob();
  }
  if (stored->m_state.m_phase != JobPhase::kOpen) {
    co_return Status();
  }
  const Status ended = co_await m_store.EndStored(id, *stored);
  co_return ended;
}

Task<Status> JobService::End(std::string id,
                             std::string workspace,
                             Millis deadline) {
  while (MonotonicNow() < deadline) {
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
      const Status ended = co_await EndOther(id, workspace);
      if (ended || ended.error().m_code != ResultCode::kConflict) {
        co_return ended;
      }
      continue;
    }
    const JobPtr job = found->second;
    if (job->m_spec.m_workspace != workspace) {
      co_return FailNoJob();
    }
    const Result<WriteEnd> end = co_await EndOwn(job, deadline);
    if (!end) {
      co_return tl::unexpected<Error>(end.error());
    }
    if (*end == WriteEnd::kApplied) {
      Log(Severity::kInfo, LogPart::kBatch, "A job was ended by its caller.",
          {{"job", id}, {"listed", job->m_listed.size()}});
      co_return Status();
    }
    Drop(*job);
  }
  co_return Fail(ResultCode::kStoreUnavailable, "the job couldn't be ended");
}

std::string JobService::ServiceOf(const Job& job) const {
  const FleetConfigPtr config = m_parts.m_config();
  const Route* route = config == nullptr
                           ? nullptr
                           : FindRouteByName(*config, job.m_spec.m_route);
  return route == nullptr ? ""
                          : std::string(DrawService(*route, ThreadRandom()));
}

int JobService::WaitingItems(std::string_view service, bool& urgent) const {
  const Millis now = MonotonicNow();
  const Millis wall = WallNow();
  int count = 0;
  for (auto entry = m_jobs.begin(); entry != m_jobs.end(); ++entry) {
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

int JobService::WaitingElsewhere(std::string_view service) const {
  const uint32_t key = ShortHash(service);
  const Millis now = MonotonicNow();
  int count = 0;
  for (auto entry = m_parts.m_cluster.Peers().begin();
       entry != m_parts.m_cluster.Peers().end(); ++entry) {
    const PeerVm& peer = entry->second;
    if (peer.m_heard == Millis() || now - peer.m_heard > kFreshNews) {
      continue;
    }
    for (const BatchBacklog& backlog : peer.m_news.m_backlogs) {
      count += backlog.m_service == key ? backlog.m_items : 0;
    }
  }
  return count;
}

void JobService::StartItemsAt(Upstream& upstream,
                              std::string_view service,
                              int count) {
  const Millis now = MonotonicNow();
  const Millis wall = WallNow();
  for (; count > 0; --count) {
    // The item with the least time to spare that can still be in time.
    JobPtr best;
    size_t best_item = 0;
    Millis best_slack;
    for (auto entry = m_jobs.begin(); entry != m_jobs.end(); ++entry) {
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

Task<> JobService::RunItemTask(std::list<ItemRun>::iterator run) {
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

void JobService::StartItems() {
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
    for (const UpstreamPtr& upstream :
         m_parts.m_upstreams.OfService(service.m_name)) {
      if (own == 0) {
        break;
      }
      if (!upstream->TakesRequests() ||
          !IsHealthy(upstream->m_health, kSilencePatience, now)) {
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

ItemOutlook JobService::OutlookOf(const Job& job,
                                  size_t item,
                                  Millis wall) const {
  ItemOutlook outlook;
  outlook.m_until_due = job.m_spec.m_due - wall;
  outlook.m_events = job.m_progress[item].m_last_event + 1;
  outlook.m_expected_events = job.m_expected_events[item];
  outlook.m_event_ms = kTypicalEventMs;
  return outlook;
}

void JobService::CountUrgent() {
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

void JobService::YieldTo(Upstream& upstream) {
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

void JobService::YieldOverfull() {
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
      if (peer->second.m_heard == Millis() ||
          now - peer->second.m_heard > kFreshNews) {
        continue;
      }
      for (const UpstreamUse& use : peer->second.m_news.m_uses) {
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

void JobService::AbandonHopeless(Job& job) {
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

Task<> JobService::CommitTask(JobPtr job) {
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

void JobService::StartCommits() {
  const Millis now = MonotonicNow();
  std::vector<JobPtr> due;
  for (auto entry = m_jobs.begin(); entry != m_jobs.end(); ++entry) {
    Job& job = *entry->second;
    if (!job.IsOpen() || job.m_ending) {
      continue;
    }
    AbandonHopeless(job);
    const bool is_last =
        job.m_listed.size() + job.m_unlisted.size() == job.m_progress.size();
    const bool lists = !job.m_unlisted.empty() &&
                       (is_last || now - job.m_last_commit >= kCommitEvery);
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

void JobService::ForgetOld() {
  const Millis wall = WallNow();
  std::vector<JobPtr> old;
  for (auto entry = m_jobs.begin(); entry != m_jobs.end(); ++entry) {
    const Job& job = *entry->second;
    if (!job.IsOpen() && !job.m_is_committing &&
        wall - job.m_spec.m_submitted > m_parts.m_retention) {
      old.push_back(entry->second);
    }
  }
  for (const JobPtr& job : old) {
    m_jobs.erase(job->m_spec.m_id);
    m_claims.Forget(job->m_spec.m_id);
    Spawn([](JobStore& store, std::string id, int64_t groups) -> Task<> {
      const Status removed = co_await store.Remove(id, groups);
      if (!removed) {
        LogError(Severity::kWarning, LogPart::kBatch,
                 "A finished job couldn't be removed.", removed.error());
      }
    }(m_store, job->m_spec.m_id, job->m_state.m_groups));
  }
  m_claims.Expire(MonotonicNow(), m_parts.m_retention);
}

Task<> JobService::RunScheduler() {
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

Task<> JobService::TakeOver(std::string id) {
  if (IsOwner(id)) {
    co_return;
  }
  const Result<StoredState> stored = co_await m_store.ReadState(id);
  if (!stored) {
    if (stored.error().m_code == ResultCode::kNotFound) {
      m_claims.Forget(id);
    }
    co_return;
  }
  const JobState& state = stored->m_state;
  const VmRecord& self = m_parts.m_cluster.Self();
  const Millis now = MonotonicNow();
  const bool is_open = state.m_phase == JobPhase::kOpen;
  const bool is_own = state.m_owner == self.m_id &&
                      state.m_owner_incarnation == self.m_incarnation;
  if (!is_open ||
      (!is_own && m_parts.m_cluster.IsAlive(state.m_owner,
                                            state.m_owner_incarnation, now))) {
    m_claims.Note(
        id, JobClaim{state.m_owner, state.m_owner_incarnation, is_open, now});
    co_return;
  }
  Result<JobPtr> job = co_await m_store.TakeOver(id, *stored);
  if (!job) {
    LogError(Severity::kInfo, LogPart::kBatch, "A job wasn't taken over.",
             job.error());
    co_return;
  }
  Log(Severity::kInfo, LogPart::kBatch, "Took over a job.",
      {{"job", id},
       {"from", state.m_owner},
       {"listed", (*job)->m_listed.size()},
       {"items", (*job)->m_spec.m_items.size()}});
  if (!IsOwner(id)) {
    Activate(*job);
  }
}

Task<> JobService::RunTakeovers() {
  co_await Sleep(kSettleTime);
  Millis next_scan;
  Millis scan_pause = kFirstScanPause;
  for (;;) {
    const Millis now = MonotonicNow();
    std::vector<std::string> orphans =
        m_claims.OrphansOf(m_parts.m_cluster, now);
    if (now >= next_scan && !m_draining) {
      const Result<std::vector<std::string>> open = co_await m_store.ListOpen();
      if (open) {
        // Spread over time, so that the VMs don't ask at the same moment.
        next_scan = now + scan_pause +
                    Millis(static_cast<int64_t>(
                        RandomBelow(ThreadRandom(), scan_pause.count())));
        scan_pause = kScanEvery;
        for (const std::string& id : *open) {
          if (m_claims.Find(id) == nullptr && !IsOwner(id) &&
              m_parts.m_cluster.FirstVmFor(id, now) ==
                  m_parts.m_cluster.Self().m_id) {
            orphans.push_back(id);
          }
        }
      }
    }
    for (const std::string& id : orphans) {
      if (!m_draining) {
        co_await TakeOver(id);
      }
    }
    co_await Sleep(kTakeoverEvery);
  }
}

void JobService::OnNews(const PeerNews& news, Millis now) {
  m_claims.OnNews(news, now);
}

void JobService::AddToNews(PeerNews& news, Millis now) {
  const FleetConfigPtr config = m_parts.m_config();
  std::map<uint32_t, int64_t> tokens;
  for (auto entry = m_jobs.begin(); entry != m_jobs.end(); ++entry) {
    const Job& job = *entry->second;
    if (job.IsOpen()) {
      tokens[RouteWorkspaceHash(job.m_spec.m_route, job.m_spec.m_workspace)] +=
          CountUnfinishedTokens(job);
      news.m_jobs.push_back({entry->first, true});
    } else if (now - job.m_closed_at < kMentionClosed) {
      news.m_jobs.push_back({entry->first, false});
    }
  }
  for (auto entry = tokens.begin(); entry != tokens.end(); ++entry) {
    news.m_waiting_tokens.push_back({entry->first, entry->second});
  }
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

void JobService::Drain() {
  m_draining = true;
}

Task<> JobService::ReleaseJob(JobPtr job, Millis deadline, int& left) {
  while (job->m_is_committing && MonotonicNow() < deadline) {
    WaitAny wait(deadline);
    wait.Add(job->m_changed);
    co_await wait;
  }
  if (job->IsOpen() && !job->m_is_committing) {
    job->m_is_committing = true;
    const Result<WriteEnd> end = co_await m_store.Release(*job, deadline);
    Log(Severity::kInfo, LogPart::kBatch, "Released a job.",
        {{"job", job->m_spec.m_id},
         {"done", end && *end == WriteEnd::kApplied ? "yes" : "no"}});
    Drop(*job);
  }
  --left;
  m_work_changed.NotifyAll();
}

Task<> JobService::ReleaseAll(Millis deadline) {
  m_draining = true;
  for (ItemRun& run : m_runs) {
    run.m_cancel.Cancel();
  }
  co_await Sleep(kCancelTime);
  std::vector<JobPtr> open;
  for (auto entry = m_jobs.begin(); entry != m_jobs.end(); ++entry) {
    if (entry->second->IsOpen()) {
      open.push_back(entry->second);
    }
  }
  int left = static_cast<int>(open.size());
  for (const JobPtr& job : open) {
    Spawn(ReleaseJob(job, deadline, left));
  }
  while (left > 0) {
    WaitAny wait(kNever);
    wait.Add(m_work_changed);
    co_await wait;
  }
}

}  // namespace bronzecross
