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

  bool Has(std::string_view id) const {
    return m_jobs.find(id) != m_jobs.end();
  }
};

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_JOB_TABLE_H_
