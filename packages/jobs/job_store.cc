#include "jobs/job_store.h"

#include <iterator>

#include "aio/wait.h"
#include "base/log.h"
#include "base/random.h"
#include "base/text.h"
#include "jobs/job_hosts.h"
#include "jobs/job_size.h"

namespace bronzecross {
namespace {

// Maximum bytes of partial output that are saved. The store limits a value to
// one megabyte.
constexpr size_t kMaxPartialBytes = 600 << 10;

// Appended to the write id of a tentative job when it is accepted.
constexpr std::string_view kAcceptedSuffix = "+";

// Maximum number of writes by which one call tries to create a job.
constexpr int kMaxCreateWrites = 4;

// Adds what is written for a job when it is accepted, beside its own keys.
void AddAcceptance(const Job& job, KvTransaction& transaction) {
  const JobSpec& spec = job.m_spec;
  transaction.m_puts.push_back({OpenJobKey(spec.m_id), spec.m_route, 0});
  transaction.m_puts.push_back(
      {JobHostKey(spec.m_host, spec.m_workspace.empty()),
       EncodeJobHost(WallNow()), 0});
}

const KvItem* FindItem(const KvOutcome& outcome, std::string_view key) {
  for (const KvItem& item : outcome.m_current) {
    if (item.m_key == key) {
      return &item;
    }
  }
  return nullptr;
}

}  // namespace

Result<JobSnapshot> DecodeJobSnapshot(std::string_view id,
                                      std::span<const KvItem> items) {
  JobSnapshot stored;
  std::optional<BatchJobState> state;
  std::optional<JobSpec> spec;
  const std::string results_prefix = JobResultsPrefix(id);
  for (const KvItem& item : items) {
    if (item.m_key == JobStateKey(id)) {
      state = DecodeJobState(item.m_value);
      if (!state) {
        return Fail(ResultCode::kCorrupt,
                    "the stored state of the job can't be decoded");
      }
      stored.m_state.m_revision = item.m_revision;
    } else if (item.m_key == JobSpecKey(id)) {
      spec = DecodeJobSpec(item.m_value);
    } else if (item.m_key == JobPartialKey(id)) {
      stored.m_partial =
          DecodePartial(item.m_value).value_or(std::vector<PartialOutput>());
    } else if (item.m_key.starts_with(results_prefix)) {
      std::optional<std::vector<JobResult>> group =
          DecodeResultGroup(item.m_value);
      if (!group) {
        return Fail(ResultCode::kCorrupt,
                    "the stored results of the job can't be decoded");
      }
      std::move(group->begin(), group->end(),
                std::back_inserter(stored.m_results));
    }
  }
  if (!state || state->m_phase == JobPhase::kTentative) {
    return Fail(ResultCode::kNotFound, "there is no such job");
  }
  if (!spec) {
    return Fail(ResultCode::kCorrupt,
                "the stored items of the job can't be decoded");
  }
  const size_t listed = static_cast<size_t>(state->m_listed);
  if (stored.m_results.size() < listed) {
    return Fail(ResultCode::kConflict,
                "results were listed while the job was read");
  }
  // Results that were listed after the state was read: the next write of the
  // state fails.
  stored.m_results.resize(listed);
  stored.m_state.m_state = *std::move(state);
  stored.m_spec = *std::move(spec);
  return stored;
}

Task<Result<KvOutcome>> BatchJobStore::WriteNew(const Job& job,
                                                JobPhase phase,
                                                int64_t replaces) {
  const std::string& id = job.m_spec.m_id;
  BatchJobState state = job.m_state;
  state.m_phase = phase;
  KvTransaction transaction;
  transaction.m_conditions.push_back({JobStateKey(id), replaces});
  transaction.m_puts.push_back({JobSpecKey(id), EncodeJobSpec(job.m_spec), 0});
  transaction.m_puts.push_back({JobStateKey(id), EncodeJobState(state), 0});
  if (phase == JobPhase::kOpen) {
    AddAcceptance(job, transaction);
  }
  Result<KvOutcome> outcome = co_await m_kv.Transact(std::move(transaction));
  co_return outcome;
}

Task<Result<KvOutcome>> BatchJobStore::Accept(const Job& job,
                                              int64_t revision) {
  const std::string& id = job.m_spec.m_id;
  BatchJobState state = job.m_state;
  state.m_write_id += kAcceptedSuffix;
  KvTransaction transaction;
  transaction.m_conditions.push_back({JobStateKey(id), revision});
  transaction.m_puts.push_back({JobStateKey(id), EncodeJobState(state), 0});
  AddAcceptance(job, transaction);
  Result<KvOutcome> outcome = co_await m_kv.Transact(std::move(transaction));
  co_return outcome;
}

Task<Result<WriteOutcome>> BatchJobStore::Create(Job& job, CreateMode mode) {
  const std::string accepted_id =
      Concat(job.m_state.m_write_id, kAcceptedSuffix);
  // Revision of a tentative job that is replaced; zero: there is none.
  int64_t replaces = 0;
  for (int attempt = 0; attempt < kMaxCreateWrites; ++attempt) {
    job.m_confirmed = BootNow();
    Result<KvOutcome> outcome = co_await WriteNew(
        job,
        mode == CreateMode::kAtOnce ? JobPhase::kOpen : JobPhase::kTentative,
        replaces);
    if (!outcome) {
      // A tentative job that appears later is not accepted.
      if (mode == CreateMode::kInTwoSteps) {
        outcome.error().m_run = RunState::kNotRun;
      }
      co_return tl::unexpected<Error>(outcome.error());
    }
    int64_t tentative = 0;  // revision of this VM's tentative job
    if (outcome->m_applied) {
      job.m_state_revision = outcome->m_revision;
      if (mode == CreateMode::kAtOnce) {
        co_return WriteOutcome::kApplied;
      }
      tentative = outcome->m_revision;
    } else {
      const KvItem* current = FindItem(*outcome, JobStateKey(job.m_spec.m_id));
      std::optional<BatchJobState> stored =
          current == nullptr ? std::nullopt : DecodeJobState(current->m_value);
      if (!stored) {
        co_return Fail(ResultCode::kCorrupt,
                       "the stored state of the job can't be decoded");
      }
      const bool is_tentative = stored->m_phase == JobPhase::kTentative;
      const bool is_own = stored->m_write_id == job.m_state.m_write_id;
      if (!is_tentative) {
        job.m_state_revision = current->m_revision;
        // An earlier write by this VM took effect, but its reply was lost.
        if (is_own || stored->m_write_id == accepted_id) {
          job.m_state.m_write_id = stored->m_write_id;
          co_return WriteOutcome::kApplied;
        }
        job.m_state = *std::move(stored);
        co_return WriteOutcome::kExists;
      }
      if (!is_own) {
        replaces = current->m_revision;
        continue;
      }
      tentative = current->m_revision;
    }
    const Result<KvOutcome> accepted = co_await Accept(job, tentative);
    if (!accepted) {
      co_return tl::unexpected<Error>(accepted.error());
    }
    if (accepted->m_applied) {
      job.m_state_revision = accepted->m_revision;
      job.m_state.m_write_id = accepted_id;
      co_return WriteOutcome::kApplied;
    }
    // Another VM has replaced the tentative job; read by the next attempt.
    replaces = 0;
  }
  co_return Fail(ResultCode::kStoreUnavailable,
                 "other VMs write the same job at the same time");
}

Task<> BatchJobStore::RemoveTentative(const Job& job) {
  const std::string& id = job.m_spec.m_id;
  const Result<KvItem> item = co_await m_kv.Get(JobStateKey(id));
  const std::optional<BatchJobState> stored =
      item ? DecodeJobState(item->m_value) : std::nullopt;
  if (!stored || stored->m_phase != JobPhase::kTentative ||
      stored->m_write_id != job.m_state.m_write_id) {
    co_return;
  }
  KvTransaction transaction;
  transaction.m_conditions.push_back({JobStateKey(id), item->m_revision});
  transaction.m_removes = {JobStateKey(id), JobSpecKey(id)};
  co_await m_kv.Transact(std::move(transaction));
}

Task<Result<WriteOutcome>> BatchJobStore::WriteState(Job& job,
                                                     BatchJobState next,
                                                     KvTransaction transaction,
                                                     Millis deadline) {
  const std::string key = JobStateKey(job.m_spec.m_id);
  next.m_write_id = RandomId();
  transaction.m_conditions.push_back({key, job.m_state_revision});
  transaction.m_puts.push_back({key, EncodeJobState(next), 0});
  Error last;
  last.m_code = ResultCode::kStoreUnavailable;
  last.m_message = "no time was left to write the state of the job";
  while (MonotonicNow() < deadline) {
    const Millis sent = BootNow();
    const Result<KvOutcome> outcome = co_await m_kv.Transact(transaction);
    if (!outcome) {
      const RunState earlier = last.m_run;
      last = outcome.error();
      last.m_run = earlier == RunState::kUnknown ? earlier : last.m_run;
      if (IsRejectedForGood(last)) {
        break;
      }
      co_await m_kv.PauseAfterFailure(deadline);
      continue;
    }
    if (outcome->m_applied) {
      job.m_state_revision = outcome->m_revision;
      job.m_state = std::move(next);
      job.m_confirmed = sent;
      co_return WriteOutcome::kApplied;
    }
    const KvItem* current = FindItem(*outcome, key);
    const std::optional<BatchJobState> stored =
        current == nullptr ? std::nullopt : DecodeJobState(current->m_value);
    if (stored && stored->m_write_id == next.m_write_id) {
      job.m_state_revision = current->m_revision;
      job.m_state = std::move(next);
      job.m_confirmed = sent;
      co_return WriteOutcome::kApplied;
    }
    Log(Severity::kWarning, LogPart::kBatch,
        "Another writer changed the state of the job.",
        {{"job", job.m_spec.m_id},
         {"revision", job.m_state_revision},
         {"owner", stored ? stored->m_owner : "-"}});
    co_return WriteOutcome::kSuperseded;
  }
  co_return tl::unexpected<Error>(last);
}

void BatchJobStore::PrepareCommit(Job& job,
                                  size_t count,
                                  BatchJobState& next,
                                  KvTransaction& transaction) const {
  const std::string& id = job.m_spec.m_id;
  next = job.m_state;
  if (count > 0) {
    const std::vector<JobResult> group(
        job.m_unlisted.begin(),
        job.m_unlisted.begin() + static_cast<ptrdiff_t>(count));
    transaction.m_puts.push_back(
        {JobResultsKey(id, next.m_groups), EncodeResultGroup(group), 0});
    next.m_groups += 1;
    next.m_listed += static_cast<int64_t>(count);
  }
  if (next.m_listed == next.m_total) {
    next.m_phase = JobPhase::kDone;
    transaction.m_removes.push_back(OpenJobKey(id));
    transaction.m_removes.push_back(JobPartialKey(id));
    return;
  }
  job.m_saved_events = CountPartialEvents(job);
  job.m_saved_failures = CountFailures(job);
  transaction.m_puts.push_back(
      {JobPartialKey(id), EncodePartial(CollectPartial(job, kMaxPartialBytes)),
       0});
}

Task<WriteOutcome> BatchJobStore::Commit(Job& job, size_t count) {
  BatchJobState next;
  KvTransaction transaction;
  PrepareCommit(job, count, next, transaction);
  const Result<WriteOutcome> outcome =
      co_await WriteState(job, next, std::move(transaction), kNever);
  co_return outcome ? *outcome : WriteOutcome::kSuperseded;
}

Task<Result<WriteOutcome>> BatchJobStore::Release(Job& job, Millis deadline) {
  BatchJobState next;
  KvTransaction transaction;
  // What doesn't fit is run again by the next owner.
  PrepareCommit(job, ResultGroupSize(job.m_unlisted), next, transaction);
  next.m_owner.clear();
  Result<WriteOutcome> outcome =
      co_await WriteState(job, next, std::move(transaction), deadline);
  co_return outcome;
}

Task<Result<WriteOutcome>> BatchJobStore::Cancel(Job& job, Millis deadline) {
  BatchJobState next = job.m_state;
  next.m_phase = JobPhase::kCancelled;
  KvTransaction transaction;
  transaction.m_removes.push_back(OpenJobKey(job.m_spec.m_id));
  transaction.m_removes.push_back(JobPartialKey(job.m_spec.m_id));
  Result<WriteOutcome> outcome =
      co_await WriteState(job, next, std::move(transaction), deadline);
  co_return outcome;
}

Task<Result<StoredState>> BatchJobStore::ReadState(std::string id) {
  Result<StoredState> stored = co_await FindState(std::move(id));
  if (stored && stored->m_state.m_phase == JobPhase::kTentative) {
    co_return Fail(ResultCode::kNotFound, "the job was not accepted");
  }
  co_return stored;
}

Task<Result<StoredState>> BatchJobStore::FindState(std::string id) {
  const Result<KvItem> item = co_await m_kv.Get(JobStateKey(id));
  if (!item) {
    co_return tl::unexpected<Error>(item.error());
  }
  std::optional<BatchJobState> state = DecodeJobState(item->m_value);
  if (!state) {
    co_return Fail(ResultCode::kCorrupt,
                   "the stored state of the job can't be decoded");
  }
  StoredState stored;
  stored.m_state = *std::move(state);
  stored.m_revision = item->m_revision;
  co_return stored;
}

Task<Result<JobSpec>> BatchJobStore::ReadSpec(std::string id) {
  const Result<KvItem> item = co_await m_kv.Get(JobSpecKey(id));
  if (!item) {
    co_return tl::unexpected<Error>(item.error());
  }
  std::optional<JobSpec> spec = DecodeJobSpec(item->m_value);
  if (!spec) {
    co_return Fail(ResultCode::kCorrupt,
                   "the stored items of the job can't be decoded");
  }
  co_return *std::move(spec);
}

Task<Result<std::vector<JobResult>>> BatchJobStore::ReadResults(
    std::string id) {
  const Result<KvPage> page = co_await m_kv.Range(JobResultsPrefix(id));
  if (!page) {
    co_return tl::unexpected<Error>(page.error());
  }
  std::vector<JobResult> results;
  for (const KvItem& item : page->m_items) {
    std::optional<std::vector<JobResult>> group =
        DecodeResultGroup(item.m_value);
    if (!group) {
      co_return Fail(ResultCode::kCorrupt,
                     "the stored results of the job can't be decoded");
    }
    for (JobResult& result : *group) {
      results.push_back(std::move(result));
    }
  }
  co_return results;
}

Task<Result<int64_t>> BatchJobStore::CancelStored(std::string id,
                                                  StoredState stored) {
  BatchJobState next = std::move(stored.m_state);
  next.m_phase = JobPhase::kCancelled;
  next.m_write_id = RandomId();
  KvTransaction transaction;
  transaction.m_conditions.push_back({JobStateKey(id), stored.m_revision});
  transaction.m_puts.push_back({JobStateKey(id), EncodeJobState(next), 0});
  transaction.m_removes.push_back(OpenJobKey(id));
  const Result<KvOutcome> outcome =
      co_await m_kv.Transact(std::move(transaction));
  if (!outcome) {
    co_return tl::unexpected<Error>(outcome.error());
  }
  if (!outcome->m_applied) {
    co_return Fail(ResultCode::kConflict,
                   "the state of the job changed concurrently");
  }
  co_return outcome->m_revision;
}

Task<Result<JobSnapshot>> BatchJobStore::ReadSnapshot(std::string id) {
  const Result<KvPage> page = co_await m_kv.Range(JobPrefix(id));
  if (!page) {
    co_return tl::unexpected<Error>(page.error());
  }
  co_return DecodeJobSnapshot(id, page->m_items);
}

Task<Result<std::string>> BatchJobStore::ReadRoute(std::string id) {
  Result<KvItem> item = co_await m_kv.Get(OpenJobKey(id));
  if (!item) {
    co_return tl::unexpected<Error>(item.error());
  }
  co_return std::move(item->m_value);
}

Task<Result<JobPtr>> BatchJobStore::TakeOver(JobSnapshot stored) {
  BatchJobState next = stored.m_state.m_state;
  next.m_owner = m_self.m_id;
  next.m_owner_incarnation = m_self.m_incarnation;
  JobPtr job = MakeJob(std::move(stored.m_spec), stored.m_state.m_state,
                       stored.m_state.m_revision, std::move(stored.m_results));
  ApplyPartial(*job, stored.m_partial);
  const Result<WriteOutcome> outcome = co_await WriteState(
      *job, std::move(next), KvTransaction(), MonotonicNow() + Millis(2'000));
  if (!outcome) {
    co_return tl::unexpected<Error>(outcome.error());
  }
  if (*outcome != WriteOutcome::kApplied) {
    co_return Fail(ResultCode::kConflict,
                   "another writer changed the job during the takeover");
  }
  co_return job;
}

Task<Result<std::vector<std::string>>> BatchJobStore::ListOpen(
    KvReadMode mode) {
  const Result<KvPage> page =
      co_await m_kv.Range(std::string(kOpenJobPrefix), mode);
  if (!page) {
    co_return tl::unexpected<Error>(page.error());
  }
  std::vector<std::string> ids;
  for (const KvItem& item : page->m_items) {
    ids.emplace_back(StripPrefix(item.m_key, kOpenJobPrefix));
  }
  co_return ids;
}

Task<Status> BatchJobStore::Remove(std::string id, int64_t groups) {
  // Limit for one transaction, as the store limits the number of its entries.
  constexpr int64_t kMaxEntries = 30;
  int64_t group = 0;
  while (group < groups) {
    KvTransaction transaction;
    for (int64_t i = 0; i < kMaxEntries && group < groups; ++i, ++group) {
      transaction.m_removes.push_back(JobResultsKey(id, group));
    }
    const Result<KvOutcome> outcome =
        co_await m_kv.Transact(std::move(transaction));
    if (!outcome) {
      co_return tl::unexpected<Error>(outcome.error());
    }
  }
  KvTransaction transaction;
  transaction.m_removes = {JobSpecKey(id), JobStateKey(id), JobPartialKey(id),
                           OpenJobKey(id)};
  const Result<KvOutcome> outcome =
      co_await m_kv.Transact(std::move(transaction));
  if (!outcome) {
    co_return tl::unexpected<Error>(outcome.error());
  }
  co_return Status();
}

}  // namespace bronzecross
