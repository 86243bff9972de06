// Accepts batch jobs, stores them, and serves reads from memory or from the
// key-value service.

#ifndef BRONZECROSS_JOBS_JOB_SERVICE_H_
#define BRONZECROSS_JOBS_JOB_SERVICE_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/item_scheduler.h"
#include "jobs/job_dependencies.h"
#include "jobs/job_lookup.h"
#include "jobs/job_store.h"
#include "jobs/job_table.h"
#include "jobs/job_takeover.h"

namespace bronzecross {

// A page of listed results.
struct ResultPage {
  int64_t m_total = 0;  // number of items of the job
  std::vector<JobResult> m_results;
};

class JobService {
 public:
  explicit JobService(JobDependencies dependencies);
  JobService(const JobService&) = delete;
  JobService& operator=(const JobService&) = delete;

  // Accepts a job. Repeating the call is safe. Fails with kRateLimited if the
  // workspace would have more than `waiting_cap` tokens waiting on the route
  // (0: no cap), with kBodyTooLarge if the store can't keep a job of its size,
  // with kStoreUnavailable if the store rejected the job, with
  // kDeadlineExceeded if the outcome is unknown at `deadline`, and with
  // kConflict if the id belongs to another workspace. `m_run` of the error says
  // whether the job may exist.
  Task<Status> Submit(JobSpec spec, int64_t waiting_cap, Millis deadline);

  // Returns whether this VM has the job in memory.
  bool IsOwner(std::string_view id) const;
  // Returns whether the job exists, from memory or from the store.
  JobLookup& Lookup() { return m_lookup; }
  // Reads the owner of a job that another VM takes for a job of this one.
  void CheckOwner(std::string_view id);
  // Returns the id of the last known owner of the job, or an empty string.
  std::string OwnerOf(std::string_view id) const;

  // Returns the results from position `after` on. If there are none and this VM
  // owns the job, waits for up to `wait`. All reads fail like CheckJobAccess(),
  // with kNotFound if there is no such job, and with kStoreUnavailable if the
  // store cannot be queried.
  Task<Result<ResultPage>> Read(std::string id,
                                std::string workspace,
                                int64_t after,
                                Millis wait);
  // Returns the body of an item without a listed result, while its job is open.
  Task<Result<std::string>> ReadBody(std::string id,
                                     std::string workspace,
                                     std::string item);
  // Confirms to a caller that submits a job again that it was accepted. Fails
  // like CheckJobAccess(), and with kStoreUnavailable.
  Task<Status> ConfirmAccepted(std::string id, std::string workspace);
  // Cancels a job. Repeating the call is safe. Listed results remain readable.
  // If it fails, `m_run` of the error says whether the job may be cancelled.
  Task<Status> Cancel(std::string id, std::string workspace, Millis deadline);

  ItemScheduler& Scheduler() { return m_scheduler; }
  JobTakeover& Takeover() { return m_takeover; }

  // Records the owners of jobs that another VM has announced, and drops those
  // of this VM that the other one has taken over since.
  void OnGossip(const GossipMessage& gossip, Millis now);
  // Adds the jobs of this VM, their waiting tokens and the waiting items.
  void AddToGossip(GossipMessage& gossip, Millis now);
  // Starts no further items and takes over no further jobs.
  void Drain();

 private:
  // Repeats the creation of a job until its outcome is known or, after a
  // definite rejection, `m_stop_retrying` is set.
  Task<> CreateTask(JobPtr job, std::shared_ptr<struct PendingCreate> pending);
  // Cancels a job that this VM has in memory. Fails if the outcome isn't known
  // at `deadline`: with RunState::kNotRun if the job was not and will not be
  // cancelled; otherwise FinishCancel() goes on.
  Task<Result<WriteOutcome>> CancelOwn(JobPtr job, Millis deadline);
  // Completes a cancellation that the store may have carried out.
  Task<> FinishCancel(JobPtr job);
  // Ends the write of a cancellation whose outcome is known.
  void EndCancel(Job& job);
  // Cancels a job that this VM does not have in memory.
  Task<Status> CancelRemote(std::string id, std::string workspace);
  // Records the owner of a job that this VM has answered a caller about, from
  // the state that is stored at `revision`.
  void WatchJob(std::string_view id,
                const BatchJobState& state,
                int64_t revision);
  // Returns the job if this VM has it in memory and is certain that no other VM
  // owns it; otherwise null.
  Task<JobPtr> FindOwned(std::string id);
  // Adds a job that this VM now owns, announces it and starts its items.
  void Activate(JobPtr job);
  // Returns the tokens of unfinished items at all VMs, as far as known.
  int64_t WaitingTokensOf(std::string_view workspace,
                          std::string_view route) const;

  JobDependencies m_dependencies;
  BatchJobStore m_store;
  JobTable m_table;
  ItemScheduler m_scheduler;
  JobTakeover m_takeover;
  JobLookup m_lookup;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_JOB_SERVICE_H_
