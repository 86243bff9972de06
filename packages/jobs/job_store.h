// Reads and writes batch jobs in the key-value service.

#ifndef BRONZECROSS_JOBS_JOB_STORE_H_
#define BRONZECROSS_JOBS_JOB_STORE_H_

#include <string>
#include <vector>

#include "cluster/vm_record.h"
#include "jobs/job.h"
#include "kv/kv_session.h"

namespace bronzecross {

// Time within which the store may still carry out a write that got no reply.
inline constexpr Millis kLateWriteTime{8'000};

// The outcome of a write whose effect is known.
enum class WriteOutcome {
  kApplied,
  kExists,      // a job with this id exists
  kSuperseded,  // another writer changed the job's state first
};

// The state of a job as read from the key-value service.
struct StoredState {
  BatchJobState m_state;
  int64_t m_revision = 0;
};

// All that is stored of a job.
struct JobSnapshot {
  StoredState m_state;
  JobSpec m_spec;
  std::vector<JobResult> m_results;  // in their order
  std::vector<PartialOutput> m_partial;
};

// Decodes the keys of one job. Fails with kNotFound if there is no state, with
// kCorrupt if a value can't be decoded, and with kConflict if listed results
// are missing since the keys were read in several calls.
Result<JobSnapshot> DecodeJobSnapshot(std::string_view id,
                                      std::span<const KvItem> items);

// How a job is created. In two steps, it is stored as a tentative job first and
// then accepted. The job can be refused until the second write is sent,
// whatever becomes of the first one.
enum class CreateMode { kAtOnce, kInTwoSteps };

class BatchJobStore {
 public:
  BatchJobStore(KvSession& kv, VmRecord self)
      : m_kv(kv), m_self(std::move(self)) {}

  // Creates a job owned by this VM, replacing a tentative one. Fails with
  // kStoreUnavailable; `m_run` of the error then says whether the job may be
  // accepted, now or later. Repeating the call with the same job is safe. For
  // kExists, `job` holds the stored state.
  Task<Result<WriteOutcome>> Create(Job& job, CreateMode mode);
  // Removes what Create() has left of a job that was refused.
  Task<> RemoveTentative(const Job& job);

  // Lists the first `count` unlisted results and saves the partial outputs of
  // unfinished items. Retries until the effect is known.
  Task<WriteOutcome> Commit(Job& job, size_t count);

  // Lists the unlisted results that fit into one group, saves the partial
  // outputs and removes the owner, so that another VM can take the job over.
  // Fails with kStoreUnavailable if `deadline` passes before the effect is
  // known.
  Task<Result<WriteOutcome>> Release(Job& job, Millis deadline);

  // Marks a job of this VM as cancelled. Retries until the effect is known, or
  // fails at `deadline`; `m_run` of the error then says whether the write may
  // still take effect.
  Task<Result<WriteOutcome>> Cancel(Job& job, Millis deadline);

  // Returns the state of a job, which may be tentative.
  Task<Result<StoredState>> FindState(std::string id);
  // Fail with kNotFound if there is no such job.
  Task<Result<StoredState>> ReadState(std::string id);
  Task<Result<JobSpec>> ReadSpec(std::string id);
  // Returns the route of an open job, without the bodies of its items. A job of
  // an earlier version of the program has none that exists.
  Task<Result<std::string>> ReadRoute(std::string id);
  // Returns all listed results in their order.
  Task<Result<std::vector<JobResult>>> ReadResults(std::string id);
  // Marks a job that this VM does not own as cancelled. Returns the revision of
  // the new state. Fails with kConflict if the state changed after `stored` was
  // read.
  Task<Result<int64_t>> CancelStored(std::string id, StoredState stored);

  // Reads the whole job, with one call unless it is large. Fails like
  // DecodeJobSnapshot().
  Task<Result<JobSnapshot>> ReadSnapshot(std::string id);
  // Makes this VM the owner. Fails with kConflict if the state changed after
  // `stored` was read, by another VM's takeover or by the owner.
  Task<Result<JobPtr>> TakeOver(JobSnapshot stored);

  // Returns the ids of all open jobs.
  Task<Result<std::vector<std::string>>> ListOpen(KvReadMode mode);

  // Removes all keys of a job with `groups` result groups.
  Task<Status> Remove(std::string id, int64_t groups);

 private:
  // Writes the keys of a new job in place of a tentative one with the revision
  // `replaces`, or of none if it is zero.
  Task<Result<KvOutcome>> WriteNew(const Job& job,
                                   JobPhase phase,
                                   int64_t replaces);
  // Accepts a tentative job of this VM with the given revision.
  Task<Result<KvOutcome>> Accept(const Job& job, int64_t revision);
  // Fills `transaction` and `next` for the first `count` unlisted results.
  void PrepareCommit(Job& job,
                     size_t count,
                     BatchJobState& next,
                     KvTransaction& transaction) const;
  // Writes `next` as the job's state together with the changes in
  // `transaction`. Retries until the effect is known or `deadline` passes;
  // `m_run` of the error then covers all attempts.
  Task<Result<WriteOutcome>> WriteState(Job& job,
                                        BatchJobState next,
                                        KvTransaction transaction,
                                        Millis deadline);

  KvSession& m_kv;
  VmRecord m_self;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_JOB_STORE_H_
