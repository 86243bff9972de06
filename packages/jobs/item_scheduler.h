// Runs the items of this VM's jobs: starts them where online requests leave
// room, stops them where they don't, and lists what is finished.

#ifndef BRONZECROSS_JOBS_ITEM_SCHEDULER_H_
#define BRONZECROSS_JOBS_ITEM_SCHEDULER_H_

#include <list>
#include <string>
#include <string_view>

#include "jobs/item_order.h"
#include "jobs/job_parts.h"
#include "jobs/job_store.h"
#include "jobs/job_table.h"

namespace bronzecross {

class ItemScheduler {
 public:
  // The arguments must outlive this object.
  ItemScheduler(const JobParts& parts, JobStore& store, JobTable& table)
      : m_parts(parts), m_store(store), m_table(table) {}

  // Runs until the process ends.
  Task<> Run();

  // Starts items where there is room.
  void StartItems();
  // Makes room for an online request at an upstream whose slots are all taken.
  void YieldTo(Upstream& upstream);
  // Stops items at upstreams that online requests have overfilled.
  void YieldOverfull();
  // Stops the runs of one job.
  void CancelRuns(const Job& job);
  // Forgets a job that another VM or its caller has taken away.
  void Drop(Job& job);

  // Starts no further items.
  void Drain() { m_draining = true; }
  // Stops all runs and leaves the open jobs to other VMs, with what their items
  // have generated.
  Task<> ReleaseAll(Millis deadline);

  void AddToNews(GossipMessage& news) const;

 private:
  Task<> RunItemTask(std::list<ItemRun>::iterator run);
  Task<> CommitTask(JobPtr job);
  Task<> ReleaseJob(JobPtr job, Millis deadline, struct Countdown& countdown);
  ItemOutlook OutlookOf(const Job& job, size_t item, Millis wall) const;
  void CountUrgent();
  void AbandonHopeless(Job& job);
  void StartCommits();
  void StartItemsAt(Upstream& upstream, std::string_view service, int count);
  int WaitingItems(std::string_view service, bool& urgent) const;
  int WaitingElsewhere(std::string_view service) const;
  std::string ServiceOf(const Job& job) const;
  void ForgetOld();

  const JobParts& m_parts;
  JobStore& m_store;
  JobTable& m_table;
  std::list<ItemRun> m_runs;
  Condition m_work_changed;
  bool m_draining = false;
  // When an item last had to make room.
  Millis m_last_yield;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_ITEM_SCHEDULER_H_
