// Decides whether this VM may still act as the owner of its jobs.
//
// Writes of a job are fenced by the revision of its state. Whatever the owner
// does without a write, such as starting items or telling a caller that there
// are no results yet, is not. Another VM takes a job over once it has not heard
// from the owner for seconds. A VM that runs without a pause and hears most
// other VMs learns of a successor from its gossip. After a pause, and while it
// hears fewer VMs, it first confirms with the store that it owns the job.

#ifndef BRONZECROSS_JOBS_JOB_OWNERSHIP_H_
#define BRONZECROSS_JOBS_JOB_OWNERSHIP_H_

#include <functional>

#include "jobs/job_dependencies.h"
#include "jobs/job_store.h"

namespace bronzecross {

// All times are those of BootNow(), which includes pauses.
struct FleetContact {
  // Since when this VM has heard the fleet and was not paused.
  Millis m_since;
  Millis m_last_check;
};

// Records that this VM runs at the time `now`, and whether it currently hears
// most other VMs. Must be called several times a second.
void UpdateContact(FleetContact& contact, bool hears_fleet, Millis now);

// Returns whether a VM that owned a job at the time `confirmed` still owns it,
// or has lost it so recently that no other VM relies on that.
bool IsOwnershipCertain(const FleetContact& contact,
                        Millis confirmed,
                        Millis now);

class JobOwnership {
 public:
  // `drop` is called with each job that another VM owns or that was closed
  // elsewhere. The other arguments must outlive this object.
  JobOwnership(const JobDependencies& dependencies,
               BatchJobStore& store,
               std::function<void(Job&)> drop)
      : m_dependencies(dependencies), m_store(store), m_drop(std::move(drop)) {}

  void Update();
  // Returns whether this VM may act as the owner of an open job. `boot_now` is
  // BootNow().
  bool IsCertain(const Job& job, Millis boot_now) const;
  // Reads the state of the job, unless the ownership is certain or the store
  // can't be queried. Returns whether it is certain afterwards.
  Task<bool> Confirm(JobPtr job);

 private:
  const JobDependencies& m_dependencies;
  BatchJobStore& m_store;
  std::function<void(Job&)> m_drop;
  FleetContact m_contact;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_JOB_OWNERSHIP_H_
