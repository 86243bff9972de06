// Takes over open jobs whose VM is gone.

#ifndef BRONZECROSS_JOBS_JOB_TAKEOVER_H_
#define BRONZECROSS_JOBS_JOB_TAKEOVER_H_

#include <functional>
#include <string>
#include <vector>

#include "jobs/job_parts.h"
#include "jobs/job_store.h"
#include "jobs/job_table.h"

namespace bronzecross {

class JobTakeover {
 public:
  // `activate` starts a job that is now this VM's. The other arguments must
  // outlive this object.
  JobTakeover(const JobParts& parts,
              JobStore& store,
              JobTable& table,
              std::function<void(JobPtr)> activate)
      : m_parts(parts),
        m_store(store),
        m_table(table),
        m_activate(std::move(activate)) {}

  // Runs until the process ends.
  Task<> Run();
  // Takes over no further jobs.
  void Drain() { m_draining = true; }

 private:
  Task<> TakeOver(std::string id);
  // Whether this VM asks the store for open jobs on behalf of the fleet.
  bool IsScanner(Millis now) const;
  // Asks the store for open jobs that nobody has told of, if that is due.
  // Returns those that this VM should take over.
  Task<std::vector<std::string>> Scan(Millis now);

  const JobParts& m_parts;
  JobStore& m_store;
  JobTable& m_table;
  std::function<void(JobPtr)> m_activate;
  bool m_draining = false;
  int m_own_scans = 0;
  Millis m_next_scan;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_JOB_TAKEOVER_H_
