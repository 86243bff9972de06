// The jobs that this VM holds in memory, and the known owners of all jobs.

#ifndef BRONZECROSS_JOBS_JOB_TABLE_H_
#define BRONZECROSS_JOBS_JOB_TABLE_H_

#include <map>
#include <string>
#include <string_view>

#include "jobs/job.h"
#include "jobs/job_claims.h"

namespace bronzecross {

struct JobTable {
  // Open jobs that this VM runs, and jobs that it finished and still retains.
  std::map<std::string, JobPtr, std::less<>> m_jobs;
  JobClaims m_claims;
  // Jobs whose stored owner must be read, since this VM may own them without
  // knowing it, and the monotonic time until when. Until then an earlier write
  // of this VM may still take effect.
  std::map<std::string, Millis, std::less<>> m_unsettled;

  bool Has(std::string_view id) const {
    return m_jobs.find(id) != m_jobs.end();
  }
};

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_JOB_TABLE_H_
