// Reads and writes batch jobs in the key-value service.

#ifndef BRONZECROSS_JOBS_JOB_STORE_H_
#define BRONZECROSS_JOBS_JOB_STORE_H_

#include <string>
#include <vector>

#include "cluster/vm_record.h"
#include "jobs/job.h"
#include "kv/kv_session.h"

namespace bronzecross {

// The result of a write whose effect is known.
enum class WriteEnd {
  kApplied,
  kExists,    // a job of this id is there already
  kReplaced,  // another writer has changed the job's state
};

// A job as the service has it.
struct StoredState {
  JobState m_state;
  int64_t m_revision = 0;
};

class JobStore {
 public:
  JobStore(KvSession& kv, VmRecord self) : m_kv(kv), m_self(std::move(self)) {}

  // Creates a job owned by this VM. One call; fails with kStoreUnavailable, and
  // `m_run` then tells whether the job may be created later. Repeating the call
  // with the same job is safe. kExists: `job` holds the stored state.
  Task<Result<WriteEnd>> Create(Job& job);

  // Gives the first `count` unlisted results positions and saves what
  // unfinished items have generated. Repeats until the effect is known.
  Task<WriteEnd> Commit(Job& job, size_t count);

  // Saves the same and leaves the job to whoever takes it over. Fails with
  // kStoreUnavailable if `deadline` passes before the effect is known.
  Task<Result<WriteEnd>> Release(Job& job, Millis deadline);

  // Marks a job of this VM as ended. Repeats until the effect is known or
  // `deadline` passes; then fails with kStoreUnavailable.
  Task<Result<WriteEnd>> End(Job& job, Millis deadline);

  // Fails with kNotFound if there is no such job.
  Task<Result<StoredState>> ReadState(std::string id);
  Task<Result<JobSpec>> ReadSpec(std::string id);
  // All listed results in their order.
  Task<Result<std::vector<JobResult>>> ReadResults(std::string id);
  // Ends a job of another VM. Fails with kConflict if its state changed
  // meanwhile.
  Task<Status> EndStored(std::string id, StoredState stored);

  // Makes this VM the owner. Fails with kConflict if another VM was faster or
  // the owner went on.
  Task<Result<JobPtr>> TakeOver(std::string id, StoredState stored);

  // Ids of all open jobs.
  Task<Result<std::vector<std::string>>> ListOpen();

  // Removes all keys of a job.
  Task<Status> Remove(std::string id, int64_t groups);

 private:
  // Fills `transaction` and `next` for the first `count` unlisted results.
  void PrepareCommit(Job& job,
                     size_t count,
                     JobState& next,
                     KvTransaction& transaction) const;
  // Writes `next` as the job's state, with `transaction`'s further changes.
  // Repeats until the effect is known or `deadline` passes.
  Task<Result<WriteEnd>> WriteState(Job& job,
                                    JobState next,
                                    KvTransaction transaction,
                                    Millis deadline);

  KvSession& m_kv;
  VmRecord m_self;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_JOB_STORE_H_
