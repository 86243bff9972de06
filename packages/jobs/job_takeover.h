// Takes over open jobs whose owner is lost or has released them.

#ifndef BRONZECROSS_JOBS_JOB_TAKEOVER_H_
#define BRONZECROSS_JOBS_JOB_TAKEOVER_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

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
};

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_JOB_TAKEOVER_H_
