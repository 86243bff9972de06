#include "jobs/job_service.h"

#include <algorithm>

#include "aio/wait.h"
#include "base/log.h"
#include "base/random.h"
#include "base/text.h"
#include "jobs/job_access.h"
#include "jobs/job_size.h"

namespace bronzecross {

// Progress of the creation of a job, shared by Submit() and CreateTask().
struct PendingCreate {
  bool m_done = false;
  // The effect of a write that was sent is unknown.
  bool m_may_exist = false;
  // CreateTask() stops after the next failure if the job certainly does not
  // exist.
  bool m_stop_retrying = false;
  // CreateTask() has stopped; the job does not exist and will not be created.
  bool m_is_rejected = false;
  Result<WriteOutcome> m_outcome = WriteOutcome::kApplied;
  Condition m_changed;
};

namespace {

// Maximum bytes of output in one page of results, unless its first result is
// longer.
constexpr size_t kMaxPageBytes = 800 << 10;

// Delay between two attempts to create a job.
constexpr Millis kCreateRetryDelay{120};

// Time after which a definite rejection by the store is reported to the caller
// instead of retried, so that the caller can try another VM in time.
constexpr Millis kRejectAfter{350};

// Retry-after time for a workspace over its cap. By then, some of its items are
// expected to be finished.
constexpr Millis kRetryAfterOverCap{1'000};
constexpr Millis kRetryAfterStoreFailure{500};

ResultPage MakePage(int64_t total,
                    const std::vector<JobResult>& listed,
                    int64_t after) {
  ResultPage page;
  page.m_total = total;
  size_t bytes = 0;
  for (size_t i = static_cast<size_t>(std::max<int64_t>(after, 0));
       i < listed.size(); ++i) {
    bytes += listed[i].m_output.size();
    if (!page.m_results.empty() && bytes > kMaxPageBytes) {
      break;
    }
    page.m_results.push_back(listed[i]);
  }
  return page;
}

tl::unexpected<Error> FailJobNotFound() {
  return Fail(ResultCode::kNotFound, "no such job in this workspace");
}

}  // namespace

JobService::JobService(JobDependencies dependencies)
    : m_dependencies(std::move(dependencies)),
      m_store(m_dependencies.m_kv, m_dependencies.m_cluster.Self()),
      m_scheduler(m_dependencies, m_store, m_table),
      m_takeover(m_dependencies,
                 m_store,
                 m_table,
                 [this](JobPtr job) { Activate(std::move(job)); }),
      m_lookup(m_dependencies.m_kv,
               m_store,
               m_table,
               m_dependencies.m_retention,
               [this](std::string_view id, const StoredState& stored) {
                 WatchJob(id, stored.m_state, stored.m_revision);
               }) {}

bool JobService::IsOwner(std::string_view id) const {
  return m_table.Has(id);
}

std::string JobService::OwnerOf(std::string_view id) const {
  const JobClaim* claim = m_table.m_claims.Find(id);
  return claim == nullptr ? "" : claim->m_owner;
}

Task<> JobService::CreateTask(JobPtr job,
                              std::shared_ptr<PendingCreate> pending) {
  bool is_tentative = false;  // a tentative job may be stored, now or later
  for (;;) {
    if (!m_dependencies.m_kv.IsUnreachable()) {
      // A write through another VM often has an unknown outcome. The caller
      // can be refused all the same, and try another VM in time.
      const bool is_direct = m_dependencies.m_kv.ReachesDirectly();
      is_tentative = is_tentative || !is_direct;
      Result<WriteOutcome> outcome = co_await m_store.Create(
          *job, is_direct ? CreateMode::kAtOnce : CreateMode::kInTwoSteps);
      if (outcome || outcome.error().m_code == ResultCode::kCorrupt ||
          (IsRejectedForGood(outcome.error()) && !pending->m_may_exist)) {
        pending->m_outcome = std::move(outcome);
        break;
      }
      pending->m_may_exist =
          pending->m_may_exist || outcome.error().m_run == RunState::kUnknown;
    }
    if (pending->m_stop_retrying && !pending->m_may_exist) {
      pending->m_is_rejected = true;
      pending->m_changed.NotifyAll();
      if (is_tentative) {
        co_await Sleep(kLateWriteTime);
        co_await m_store.RemoveTentative(*job);
      }
      co_return;
    }
    const Millis pause_until = MonotonicNow() + kCreateRetryDelay;
    if (m_dependencies.m_kv.IsUnreachable()) {
      co_await m_dependencies.m_kv.WaitUntilReachable(pause_until);
    } else {
      co_await WaitAny(pause_until);
    }
  }
  pending->m_done = true;
  pending->m_changed.NotifyAll();
  if (pending->m_outcome && *pending->m_outcome == WriteOutcome::kApplied) {
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
  const Status fits = CheckJobSize(spec, m_dependencies.m_max_value_bytes);
  if (!fits) {
    co_return fits;
  }
  const JobClaim* claim = m_table.m_claims.Find(spec.m_id);
  const bool is_known = m_table.Has(spec.m_id) || claim != nullptr;
  int64_t tokens = 0;
  for (const JobItem& item : spec.m_items) {
    tokens += item.m_tokens;
  }
  bool is_accepted = false;
  if (!is_known && waiting_cap > 0) {
    const int64_t waiting = WaitingTokensOf(spec.m_workspace, spec.m_route);
    if (waiting + tokens > waiting_cap) {
      // An earlier attempt may have been accepted at a VM that this one hasn't
      // heard of yet. Its tokens are among those that wait.
      const Result<StoredState> stored = co_await m_store.ReadState(spec.m_id);
      if (!stored && stored.error().m_code != ResultCode::kNotFound) {
        co_return FailMayHaveRun(ResultCode::kStoreUnavailable,
                                 "the store doesn't tell whether the job was "
                                 "accepted before");
      }
      is_accepted = stored.has_value();
    }
    if (waiting + tokens > waiting_cap && !is_accepted) {
      Log(Severity::kInfo, LogPart::kBatch,
          "Rejected a job over the token cap.",
          {{"job", spec.m_id},
           {"waiting", waiting},
           {"tokens", tokens},
           {"cap", waiting_cap}});
      Error error;
      error.m_code = ResultCode::kRateLimited;
      error.m_message =
          "too many tokens of this workspace are waiting in batch jobs";
      error.m_retry_after = kRetryAfterOverCap;
      co_return tl::unexpected<Error>(error);
    }
  }
  BatchJobState state;
  state.m_owner = m_dependencies.m_cluster.Self().m_id;
  state.m_owner_incarnation = m_dependencies.m_cluster.Self().m_incarnation;
  state.m_workspace = spec.m_workspace;
  state.m_total = static_cast<int64_t>(spec.m_items.size());
  state.m_write_id = RandomId();
  const std::string workspace = spec.m_workspace;
  std::vector<JobResult> none;
  JobPtr job = MakeJob(std::move(spec), std::move(state), 0, std::move(none));
  std::shared_ptr<PendingCreate> pending = std::make_shared<PendingCreate>();
  const Millis reject_at = MonotonicNow() + kRejectAfter;
  Spawn(CreateTask(job, pending));
  while (!pending->m_done) {
    const Millis now = MonotonicNow();
    pending->m_stop_retrying = now >= reject_at;
    if (now >= deadline) {
      break;
    }
    WaitAny wait(pending->m_stop_retrying ? deadline
                                          : std::min(reject_at, deadline));
    wait.Add(pending->m_changed);
    co_await wait;
    if (pending->m_is_rejected) {
      Error error;
      error.m_code = ResultCode::kStoreUnavailable;
      error.m_message = "the store rejected the job";
      error.m_retry_after = kRetryAfterStoreFailure;
      co_return tl::unexpected<Error>(error);
    }
  }
  if (!pending->m_done) {
    co_return FailMayHaveRun(
        ResultCode::kDeadlineExceeded,
        "the deadline passed before the store confirmed the job");
  }
  if (!pending->m_outcome) {
    co_return tl::unexpected<Error>(pending->m_outcome.error());
  }
  if (!CheckJobAccess(job->m_state.m_workspace, workspace)) {
    co_return Fail(ResultCode::kConflict,
                   "the job id is used by another workspace");
  }
  if (*pending->m_outcome == WriteOutcome::kExists &&
      !m_table.Has(job->m_spec.m_id)) {
    WatchJob(job->m_spec.m_id, job->m_state, job->m_state_revision);
  }
  co_return Status();
}

void JobService::WatchJob(std::string_view id,
                          const BatchJobState& state,
                          int64_t revision) {
  JobClaim claim = ClaimOf(state, revision, MonotonicNow());
  claim.m_watched = true;
  m_table.m_claims.Record(id, std::move(claim));
}

void JobService::Activate(JobPtr job) {
  const VmRecord& self = m_dependencies.m_cluster.Self();
  m_table.m_unsettled.erase(job->m_spec.m_id);
  m_table.m_claims.Record(job->m_spec.m_id,
                          JobClaim{.m_owner = self.m_id,
                                   .m_owner_incarnation = self.m_incarnation,
                                   .m_revision = job->m_state_revision,
                                   .m_recorded = MonotonicNow(),
                                   .m_announced = true});
  m_table.m_jobs[job->m_spec.m_id] = job;
  m_dependencies.m_send_gossip();
  m_scheduler.StartItems();
}

Task<JobPtr> JobService::FindOwned(std::string id) {
  const auto found = m_table.m_jobs.find(id);
  if (found == m_table.m_jobs.end()) {
    co_return nullptr;
  }
  const JobPtr job = found->second;
  // A closed job never changes.
  if (!job->IsOpen() && !job->m_dropped) {
    co_return job;
  }
  const bool is_own = co_await m_scheduler.Ownership().Confirm(job);
  co_return is_own ? job : nullptr;
}

Task<Result<ResultPage>> JobService::Read(std::string id,
                                          std::string workspace,
                                          int64_t after,
                                          Millis wait_time) {
  const Millis until = MonotonicNow() + wait_time;
  JobPtr job = co_await FindOwned(id);
  if (job != nullptr && CheckJobAccess(job->m_spec.m_workspace, workspace)) {
    while (static_cast<int64_t>(job->m_listed.size()) <= after &&
           job->IsOpen() && MonotonicNow() < until) {
      WaitAny wait(until);
      wait.Add(job->m_changed);
      co_await wait;
    }
    // The wait may have included a pause or the loss of the job.
    job = co_await FindOwned(id);
  }
  if (job != nullptr) {
    const Status allowed = CheckJobAccess(job->m_spec.m_workspace, workspace);
    if (!allowed) {
      co_return tl::unexpected<Error>(allowed.error());
    }
    co_return MakePage(job->m_state.m_total, job->m_listed, after);
  }
  const Result<StoredState> stored = co_await m_store.ReadState(id);
  if (!stored) {
    co_return tl::unexpected<Error>(stored.error());
  }
  const BatchJobState& state = stored->m_state;
  const Status allowed = CheckJobAccess(state.m_workspace, workspace);
  if (!allowed) {
    co_return tl::unexpected<Error>(allowed.error());
  }
  WatchJob(id, state, stored->m_revision);
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
  const JobPtr owned = co_await FindOwned(id);
  if (owned != nullptr) {
    const Job& job = *owned;
    const Status allowed = CheckJobAccess(job.m_spec.m_workspace, workspace);
    if (!allowed) {
      co_return tl::unexpected<Error>(allowed.error());
    }
    if (!job.IsOpen()) {
      co_return FailJobNotFound();
    }
    for (size_t i = 0; i < job.m_spec.m_items.size(); ++i) {
      if (job.m_spec.m_items[i].m_id == item &&
          job.m_progress[i].m_phase != BatchItemPhase::kListed) {
        co_return job.m_spec.m_items[i].m_body;
      }
    }
    co_return FailJobNotFound();
  }
  const Result<StoredState> stored = co_await m_store.ReadState(id);
  if (!stored) {
    co_return tl::unexpected<Error>(stored.error());
  }
  const Status allowed = CheckJobAccess(stored->m_state.m_workspace, workspace);
  if (!allowed) {
    co_return tl::unexpected<Error>(allowed.error());
  }
  if (stored->m_state.m_phase != JobPhase::kOpen) {
    co_return FailJobNotFound();
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
      co_return FailJobNotFound();
    }
  }
  for (const JobItem& entry : spec->m_items) {
    if (entry.m_id == item) {
      co_return entry.m_body;
    }
  }
  co_return FailJobNotFound();
}

Task<Status> JobService::ConfirmAccepted(std::string id,
                                         std::string workspace) {
  const JobPtr owned = co_await FindOwned(id);
  if (owned != nullptr) {
    co_return CheckJobAccess(owned->m_spec.m_workspace, workspace);
  }
  const Result<StoredState> stored = co_await m_store.ReadState(id);
  if (!stored) {
    co_return tl::unexpected<Error>(stored.error());
  }
  WatchJob(id, stored->m_state, stored->m_revision);
  co_return CheckJobAccess(stored->m_state.m_workspace, workspace);
}

Task<Result<WriteOutcome>> JobService::CancelOwn(JobPtr job, Millis deadline) {
  co_await WaitForCommit(job, deadline);
  if (!job->IsOpen()) {
    // A job that another VM took over meanwhile may be open there.
    co_return job->m_dropped ? WriteOutcome::kSuperseded
                             : WriteOutcome::kApplied;
  }
  if (job->m_is_committing) {
    co_return Fail(ResultCode::kStoreUnavailable,
                   "an earlier write of the job is not acknowledged yet");
  }
  // The items go on until the store may have cancelled the job, so that one
  // that can't be cancelled now loses nothing.
  job->m_is_committing = true;
  Result<WriteOutcome> outcome = co_await m_store.Cancel(*job, deadline);
  if (!outcome && outcome.error().m_run == RunState::kUnknown) {
    job->m_may_be_cancelled = true;
    m_scheduler.CancelRuns(*job);
    Spawn(FinishCancel(job));
    co_return outcome;
  }
  EndCancel(*job);
  co_return outcome;
}

void JobService::EndCancel(Job& job) {
  job.m_may_be_cancelled = false;
  job.m_is_committing = false;
  if (!job.IsOpen()) {
    job.m_closed_at = MonotonicNow();
    m_scheduler.CancelRuns(job);
  }
  job.m_changed.NotifyAll();
}

Task<> JobService::FinishCancel(JobPtr job) {
  const Result<WriteOutcome> outcome = co_await m_store.Cancel(*job, kNever);
  EndCancel(*job);
  if (!outcome || *outcome != WriteOutcome::kApplied) {
    m_scheduler.Drop(*job);
  }
  Log(Severity::kInfo, LogPart::kBatch,
      "Finished the cancellation of a job after its deadline.",
      {{"job", job->m_spec.m_id},
       {"cancelled", job->m_dropped ? "read again" : "yes"}});
}

Task<Status> JobService::CancelRemote(std::string id, std::string workspace) {
  const Result<StoredState> stored = co_await m_store.ReadState(id);
  if (!stored) {
    co_return tl::unexpected<Error>(stored.error());
  }
  const Status allowed = CheckJobAccess(stored->m_state.m_workspace, workspace);
  if (!allowed) {
    co_return allowed;
  }
  JobClaim claim = ClaimOf(stored->m_state, stored->m_revision, MonotonicNow());
  Status cancelled;
  if (claim.m_open) {
    const Result<int64_t> revision = co_await m_store.CancelStored(id, *stored);
    if (revision) {
      claim.m_open = false;
      claim.m_revision = *revision;
    } else {
      cancelled = tl::unexpected<Error>(revision.error());
    }
  }
  m_table.m_claims.Record(id, std::move(claim));
  co_return cancelled;
}

Task<Status> JobService::Cancel(std::string id,
                                std::string workspace,
                                Millis deadline) {
  while (MonotonicNow() < deadline) {
    const auto found = m_table.m_jobs.find(id);
    if (found == m_table.m_jobs.end()) {
      const Status cancelled = co_await CancelRemote(id, workspace);
      if (cancelled || cancelled.error().m_code != ResultCode::kConflict) {
        co_return cancelled;
      }
      continue;
    }
    const JobPtr job = found->second;
    const Status allowed = CheckJobAccess(job->m_spec.m_workspace, workspace);
    if (!allowed) {
      co_return allowed;
    }
    const Result<WriteOutcome> outcome = co_await CancelOwn(job, deadline);
    if (!outcome) {
      co_return tl::unexpected<Error>(outcome.error());
    }
    if (*outcome == WriteOutcome::kApplied) {
      Log(Severity::kInfo, LogPart::kBatch,
          "A job was cancelled by its caller.",
          {{"job", id}, {"listed", job->m_listed.size()}});
      co_return Status();
    }
    m_scheduler.Drop(*job);
  }
  co_return Fail(ResultCode::kStoreUnavailable,
                 "the job could not be cancelled before the deadline");
}

void JobService::Drain() {
  m_scheduler.Drain();
  m_takeover.Drain();
}

}  // namespace bronzecross
