// Job records in the store. Each open job also has a small entry under open/,
// so that the scan for jobs without a live owner does not read ended jobs. Both
// keys are always written together and so have the same revision.

#ifndef BRONZECROSS_BATCH_JOB_STORE_H_
#define BRONZECROSS_BATCH_JOB_STORE_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "batch/job_record.h"
#include "store/kv_client.h"

namespace bronzecross {

struct StoredJob {
  JobRecord m_job;
  int64_t m_revision = 0;
};

// The content of a job's open/ entry.
struct OpenJob {
  std::string m_id;
  std::string m_owner;
  int64_t m_owner_incarnation = 0;
  bool m_cancelling = false;
};

// Thread-safe. All calls fail with kStoreUnavailable if the store client does.
class JobStore {
 public:
  JobStore(KvClient& store, std::string prefix);

  // Writes `job` and the entry that maps (workspace, idempotency key) to it in
  // one transaction; an empty key gets no entry. Returns the existing job if
  // the key was used before; fails with kIdempotencyMismatch if that was with
  // another body.
  Result<StoredJob> Submit(const JobRecord& job,
                           std::string_view idempotency_key,
                           std::string_view body);

  // Returns the job that was submitted with `idempotency_key`, std::nullopt if
  // there is none. Fails with kIdempotencyMismatch if it had another body.
  Result<std::optional<StoredJob>> FindSubmitted(
      std::string_view workspace,
      std::string_view idempotency_key,
      std::string_view body);

  // Fails with kNotFound if there is no such job.
  Result<StoredJob> Load(std::string_view id);

  // Replaces the record if it still has `revision`. Returns the new revision;
  // fails with kConflict.
  Result<int64_t> Save(const JobRecord& job, int64_t revision);

  // All jobs of `workspace`, newest first.
  Result<std::vector<JobRecord>> ListJobs(std::string_view workspace);

  Result<std::vector<OpenJob>> ListOpen();

  // Returns the incarnations of all VMs that hold their lease, by VM id.
  Result<std::map<std::string, int64_t>> ListVms();

 private:
  std::string SubmitEntryKey(std::string_view workspace,
                             std::string_view key) const;

  KvClient& m_store;
  const std::string m_prefix;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_JOB_STORE_H_
