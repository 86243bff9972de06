// Takes over open jobs whose owner is lost or has released them.

#ifndef BRONZECROSS_JOBS_JOB_TAKEOVER_H_
#define BRONZECROSS_JOBS_JOB_TAKEOVER_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "jobs/job_dependencies.h"
#include "jobs/job_store.h"
#include "jobs/job_table.h"

namespace bronzecross {

class JobTakeover {
 public:
  // `activate` is called with each job that this VM has taken over. The other
  // arguments must outlive this object.
  JobTakeover(const JobDependencies& dependencies,
              BatchJobStore& store,
              JobTable& table,
              std::function<void(JobPtr)> activate)
      : m_dependencies(dependencies),
        m_store(store),
        m_table(table),
        m_activate(std::move(activate)) {}

  // Runs until the process ends.
  Task<> Run();
  // Takes over no further jobs.
  void Drain() { m_draining = true; }

 private:
  // Takes over a job if it is open and has no live owner.
  Task<> TakeOver(std::string id);
  // Ends the repeated reads of a job's owner if their time is over.
  void Settle(std::string_view id, Millis now);
  // Returns whether this VM may hold the bodies of an open job that it hasn't
  // read. The route and the workspace may limit them to regions.
  Task<std::optional<bool>> MayHold(std::string id);
  // Returns the VM that takes over the job `key`. If regions matter, each
  // region has one, of which those that may not hold the job leave it.
  std::string FirstVmFor(std::string_view key, Millis now) const;
  // Returns whether VMs in `zone` compete with this one for jobs.
  bool IsInScope(std::string_view zone) const;
  // Returns whether this VM scans the store for open jobs on behalf of the
  // fleet.
  bool IsScanner(Millis now) const;
  // Scans the store for open jobs that no VM has announced, if a scan is due.
  // Returns those that this VM should take over.
  Task<std::vector<std::string>> Scan(Millis now);

  const JobDependencies& m_dependencies;
  BatchJobStore& m_store;
  JobTable& m_table;
  std::function<void(JobPtr)> m_activate;
  bool m_draining = false;
  int m_startup_scans = 0;
  Millis m_next_scan;
  // Jobs that this VM may not hold, and until when they aren't looked at.
  absl::flat_hash_map<std::string, Millis> m_declined;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_JOB_TAKEOVER_H_
