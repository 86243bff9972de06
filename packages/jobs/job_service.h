// Batch jobs on this VM: accepts and keeps them, runs the items of its own, and
// answers reads from memory or from the key-value service.

#ifndef BRONZECROSS_JOBS_JOB_SERVICE_H_
#define BRONZECROSS_JOBS_JOB_SERVICE_H_

#include <functional>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/cluster_view.h"
#include "dispatch/upstream_table.h"
#include "fleet/fleet_config.h"
#include "jobs/item_order.h"
#include "jobs/job.h"
#include "jobs/job_claims.h"
#include "jobs/job_store.h"

namespace bronzecross {

// A page of results.
struct ResultPage {
  int64_t m_total = 0;
  std::vector<JobResult> m_results;
};

class JobService {
 public:
  struct Parts {
    KvSession& m_kv;
    ClusterView& m_cluster;
    UpstreamTable& m_upstreams;
    // The configuration in force; null if none is known.
    std::function<FleetConfigPtr()> m_config;
    // Online requests of a service that wait for a slot, at all VMs.
    std::function<int(std::string_view)> m_online_waiting;
    // Sends news to the other VMs without waiting for the next regular time.
    std::function<void()> m_send_news;
    Millis m_retention;  // of finished jobs, from submission
  };

  explicit JobService(Parts parts);

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

  // Runs until the process ends: starts items, lists results, takes over jobs.
  Task<> RunScheduler();
  Task<> RunTakeovers();

  // Starts items where there is room.
  void StartItems();
  // Makes room for an online request at an upstream whose slots are all taken.
  void YieldTo(Upstream& upstream);
  // Stops items at upstreams that online requests have overfilled.
  void YieldOverfull();

  void OnNews(const PeerNews& news, Millis now);
  void AddToNews(PeerNews& news, Millis now);
  // Starts no further items.
  void Drain();
  // Stops all runs and leaves the open jobs to other VMs, with what their items
  // have generated.
  Task<> ReleaseAll(Millis deadline);

 private:
  Task<> RunItemTask(std::list<ItemRun>::iterator run);
  Task<> CommitTask(JobPtr job);
  Task<> CreateTask(JobPtr job, std::shared_ptr<struct PendingCreate> pending);
  Task<> TakeOver(std::string id);
  Task<Result<WriteEnd>> EndOwn(JobPtr job, Millis deadline);
  Task<Status> EndOther(std::string id, std::string workspace);
  void Activate(JobPtr job);
  void Drop(Job& job);
  Task<> ReleaseJob(JobPtr job, Millis deadline, int& left);
  ItemOutlook OutlookOf(const Job& job, size_t item, Millis wall) const;
  void CountUrgent();
  void CancelRuns(const Job& job);
  void AbandonHopeless(Job& job);
  void StartCommits();
  void StartItemsAt(Upstream& upstream, std::string_view service, int count);
  int WaitingItems(std::string_view service, bool& urgent) const;
  int WaitingElsewhere(std::string_view service) const;
  int64_t WaitingTokensOf(std::string_view workspace,
                          std::string_view route) const;
  std::string ServiceOf(const Job& job) const;
  void ForgetOld();

  Parts m_parts;
  JobStore m_store;
  JobClaims m_claims;
  std::map<std::string, JobPtr, std::less<>> m_jobs;
  std::list<ItemRun> m_runs;
  Condition m_work_changed;
  bool m_draining = false;
  // When an item last had to make room.
  Millis m_last_yield;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_JOB_SERVICE_H_
