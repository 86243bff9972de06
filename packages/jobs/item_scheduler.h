// Runs the items of this VM's jobs: starts them in slots that online requests
// leave free, preempts them when online requests need the slots, and lists the
// results.

#ifndef BRONZECROSS_JOBS_ITEM_SCHEDULER_H_
#define BRONZECROSS_JOBS_ITEM_SCHEDULER_H_

#include <list>
#include <string>
#include <string_view>

#include "jobs/item_order.h"
#include "jobs/job_dependencies.h"
#include "jobs/job_ownership.h"
#include "jobs/job_store.h"
#include "jobs/job_table.h"

namespace bronzecross {

// Items are started by slack, see item_order.h. The number of items for each
// upstream follows from batch_capacity.h.
class ItemScheduler {
 public:
  // The arguments must outlive this object.
  ItemScheduler(const JobDependencies& dependencies,
                BatchJobStore& store,
                JobTable& table)
      : m_dependencies(dependencies),
        m_store(store),
        m_table(table),
        m_ownership(dependencies, store, [this](Job& job) { Drop(job); }) {}

  // Runs until the process ends.
  Task<> Run();

  // Starts waiting items in free slots.
  void StartItems();
  // Preempts one item, if there is one that is not urgent, for an online
  // request at an upstream whose slots are all taken.
  void PreemptItemAt(Upstream& upstream);
  // Preempts items at upstreams that run more requests than they have slots.
  void PreemptAtOverfullUpstreams();
  // Cancels all runs of a job.
  void CancelRuns(const Job& job);
  // Cancels the runs of a job that another VM has taken over or that was
  // cancelled elsewhere, and removes it from memory.
  void Drop(Job& job);

  JobOwnership& Ownership() { return m_ownership; }

  // Starts no further items.
  void Drain() { m_draining = true; }
  // Cancels all runs, saves the partial outputs and releases the open jobs for
  // takeover by other VMs.
  Task<> ReleaseAll(Millis deadline);

  // Adds the number of waiting items of each service.
  void AddToGossip(GossipMessage& gossip) const;

 private:
  Task<> RunItemTask(std::list<ItemRun>::iterator run);
  Task<> CommitTask(JobPtr job);
  Task<> ReleaseJob(JobPtr job, Millis deadline, struct TaskLatch& latch);
  ItemEstimate EstimateItem(const Job& job, size_t item, Millis wall) const;
  // Updates the slack of each run and the number of urgent items per upstream.
  void UpdateUrgency();
  // Abandons the waiting items if the route was removed or the time for which
  // the job is retained is over.
  void AbandonUnservableItems(Job& job);
  // Whether items of the job may start. `boot_now` is BootNow().
  bool MayStartItems(const Job& job, Millis boot_now) const;
  Task<> ConfirmTask(JobPtr job);
  // Confirms the ownership of the open jobs where it isn't certain.
  void ConfirmJobs();
  // Starts the writes of results and partial outputs that are due.
  void StartCommits();
  // Returns where the items of the job may run. `config` owns the lists.
  AllowedRegions RegionsOf(const Job& job, const FleetConfig& config) const;
  // Returns the different limits of the open jobs.
  std::vector<AllowedRegions> RegionsOfJobs(const FleetConfig& config) const;
  // Starts items of jobs with these limits. `own` of them wait at this VM.
  void StartItemsIn(const AllowedRegions& regions,
                    std::string_view service,
                    const FleetConfig& config,
                    int own);
  // Starts up to `count` items of jobs with these limits at `upstream`.
  void StartItemsAt(Upstream& upstream,
                    std::string_view service,
                    const AllowedRegions& regions,
                    const FleetConfig& config,
                    int count);
  // Returns the upstreams of a service that may run items with these limits.
  const std::vector<UpstreamPtr>& BatchCandidates(
      std::string_view service,
      const AllowedRegions& regions) const;
  // Cancels the runs at slow upstreams for which others have free slots. The
  // items resume there.
  void MoveItemsFromSlowUpstreams();
  // Returns the number of items that are ready to run, of all jobs or of those
  // with these limits. Sets `urgent` if one of them is due within
  // kUrgentBeforeDue.
  int CountWaitingItems(std::string_view service, bool& urgent) const;
  int CountWaitingItemsIn(const AllowedRegions& regions,
                          std::string_view service,
                          const FleetConfig& config) const;
  // Returns the number of waiting items that the other VMs have announced.
  int CountWaitingAtPeers(std::string_view service) const;
  // Picks one of the services of the job's route at random by their weights.
  // Returns an empty string if the route does not exist.
  std::string SelectServiceFor(const Job& job) const;
  // Removes closed jobs from memory and from the store after their retention.
  void RemoveExpiredJobs();

  const JobDependencies& m_dependencies;
  BatchJobStore& m_store;
  JobTable& m_table;
  JobOwnership m_ownership;
  std::list<ItemRun> m_runs;
  std::vector<UpstreamPtr> m_with_urgent;  // upstreams with urgent items
  Condition m_work_changed;
  bool m_draining = false;
  // Monotonic time of the last preemption.
  Millis m_last_preemption;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_ITEM_SCHEDULER_H_
