// Batch jobs on this VM: accepts and keeps them, and answers reads from memory
// or from the key-value service.

#ifndef BRONZECROSS_JOBS_JOB_SERVICE_H_
#define BRONZECROSS_JOBS_JOB_SERVICE_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/item_scheduler.h"
#include "jobs/job_parts.h"
#include "jobs/job_store.h"
#include "jobs/job_table.h"
#include "jobs/job_takeover.h"

namespace bronzecross {

// A page of results.
struct ResultPage {
  int64_t m_total = 0;
  std::vector<JobResult> m_results;
};

class JobService {
 public:
  explicit JobService(JobParts parts);
  JobService(const JobService&) = delete;
  JobService& operator=(const JobService&) = delete;

  // Accepts a job; safe to repeat. Fails with kRateLimited if the workspace has
  // too much waiting, and with kStoreUnavailable if the job couldn't be kept by
  // `deadline`; `m_run` tells whether it may still be.
  Task<Status> Submit(JobSpec spec, int64_t waiting_cap, Millis deadline);

  // Whether this VM has the job in memory.
  bool IsOwner(std::string_view id) const;
  // The VM to ask about the job; empty if none is known.
  std::string OwnerOf(std::string_view id) const;

  // Results from position `after` on; waits up to `wait` for one. All reads
  // fail with kNotFound if the workspace has no such job, and with
  // kStoreUnavailable if that can't be told now.
  Task<Result<ResultPage>> Read(std::string id,
                                std::string workspace,
                                int64_t after,
                                Millis wait);
  // The body of an item that isn't listed, while its job is open.
  Task<Result<std::string>> ReadBody(std::string id,
                                     std::string workspace,
                                     std::string item);
  // Ends a job; safe to repeat.
  Task<Status> End(std::string id, std::string workspace, Millis deadline);

  ItemScheduler& Scheduler() { return m_scheduler; }
  JobTakeover& Takeover() { return m_takeover; }

  void OnNews(const GossipMessage& news, Millis now);
  void AddToNews(GossipMessage& news, Millis now);
  // Starts and takes over nothing more.
  void Drain();

 private:
  Task<> CreateTask(JobPtr job, std::shared_ptr<struct PendingCreate> pending);
  Task<Result<WriteEnd>> EndOwn(JobPtr job, Millis deadline);
  Task<Status> EndOther(std::string id, std::string workspace);
  void Activate(JobPtr job);
  int64_t WaitingTokensOf(std::string_view workspace,
                          std::string_view route) const;

  JobParts m_parts;
  JobStore m_store;
  JobTable m_table;
  ItemScheduler m_scheduler;
  JobTakeover m_takeover;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_JOB_SERVICE_H_
