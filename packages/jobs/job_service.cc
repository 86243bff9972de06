#include "jobs/job_service.h"

#include <algorithm>
#include <map>

#include "aio/wait.h"
#include "base/log.h"
#include "base/random.h"
#include "base/text.h"

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

// Bytes of output in one page of results.
constexpr size_t kMostPageBytes = 800 << 10;

// Pause between repeats of a refused creation.
constexpr Millis kCreatePause{120};

// A definite refusal by the store is passed on after this, so that the
// submitter can go to another VM in time.
constexpr Millis kRefuseAfter{350};

// A job's owner mentions it in its news for so long after it was closed.
constexpr Millis kMentionClosed{3'000};

// A submitter over its cap is best back when some of its items are finished.
constexpr Millis kRetryOverCap{1'000};
constexpr Millis kRetryStore{500};

uint32_t RouteWorkspaceHash(std::string_view route,
                            std::string_view workspace) {
  return ShortHash(Concat(route, "\n", workspace));
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

JobService::JobService(JobParts parts)
    : m_parts(std::move(parts)),
      m_store(m_parts.m_kv, m_parts.m_cluster.Self()),
      m_scheduler(m_parts, m_store, m_table),
      m_takeover(m_parts, m_store, m_table, [this](JobPtr job) {
        Activate(std::move(job));
      }) {}

bool JobService::IsOwner(std::string_view id) const {
  return m_table.Has(id);
}

std::string JobService::OwnerOf(std::string_view id) const {
  const JobClaim* claim = m_table.m_claims.Find(id);
  return claim == nullptr ? "" : claim->m_owner;
}

int64_t JobService::WaitingTokensOf(std::string_view workspace,
                                    std::string_view route) const {
  int64_t tokens = 0;
  for (auto entry = m_table.m_jobs.begin(); entry != m_table.m_jobs.end();
       ++entry) {
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
    if (!IsRecentlySeen(peer, now, kRecentlySeenWindow)) {
      continue;
    }
    for (const WaitingTokens& waiting : peer.m_gossip.m_waiting_tokens) {
      tokens += waiting.m_route_workspace == key ? waiting.m_tokens : 0;
    }
  }
  return tokens;
}

Task<> JobService::CreateTask(JobPtr job,
                              std::shared_ptr<PendingCreate> pending) {
  for (;;) {
    if (!m_parts.m_kv.IsUnreachable()) {
      Result<WriteEnd> end = co_await m_store.Create(*job);
      if (end || end.error().m_code == ResultCode::kCorrupt) {
        pending->m_end = std::move(end);
        break;
      }
      pending->m_may_exist =
          pending->m_may_exist || end.error().m_run == RunState::kUnknown;
    }
    if (pending->m_given_up && !pending->m_may_exist) {
      pending->m_refused = true;
      pending->m_changed.NotifyAll();
      co_return;
    }
    const Millis pause_until = MonotonicNow() + kCreatePause;
    if (m_parts.m_kv.IsUnreachable()) {
      co_await m_parts.m_kv.WaitUntilReachable(pause_until);
    } else {
      co_await WaitAny(pause_until);
    }
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
  const JobClaim* claim = m_table.m_claims.Find(spec.m_id);
  const bool is_known = m_table.Has(spec.m_id) || claim != nullptr;
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
  m_table.m_claims.Note(
      job->m_spec.m_id,
      JobClaim{m_parts.m_cluster.Self().m_id,
               m_parts.m_cluster.Self().m_incarnation, true, MonotonicNow()});
  m_table.m_jobs[job->m_spec.m_id] = job;
  m_parts.m_send_news();
  m_scheduler.StartItems();
}

Task<Result<ResultPage>> JobService::Read(std::string id,
                                          std::string workspace,
                                          int64_t after,
                                          Millis wait_time) {
  const auto found = m_table.m_jobs.find(id);
  if (found != m_table.m_jobs.end()) {
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
  m_table.m_claims.Note(
      id, JobClaim{state.m_owner, state.m_owner_incarnation,
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
  const auto found = m_table.m_jobs.find(id);
  if (found != m_table.m_jobs.end()) {
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
  m_scheduler.CancelRuns(*job);
  co_await WaitForCommit(job, deadline);
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
    const auto found = m_table.m_jobs.find(id);
    if (found == m_table.m_jobs.end()) {
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
    m_scheduler.Drop(*job);
  }
  co_return Fail(ResultCode::kStoreUnavailable, "the job couldn't be ended");
}

void JobService::OnNews(const GossipMessage& news, Millis now) {
  m_table.m_claims.OnNews(news, now);
}

void JobService::AddToNews(GossipMessage& news, Millis now) {
  std::map<uint32_t, int64_t> tokens;
  for (auto entry = m_table.m_jobs.begin(); entry != m_table.m_jobs.end();
       ++entry) {
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
  m_scheduler.AddToNews(news);
}

void JobService::Drain() {
  m_scheduler.Drain();
  m_takeover.Drain();
}

}  // namespace bronzecross
