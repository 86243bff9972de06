// Keeps the last known owner of each job.

#ifndef BRONZECROSS_JOBS_JOB_CLAIMS_H_
#define BRONZECROSS_JOBS_JOB_CLAIMS_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/cluster_view.h"

namespace bronzecross {

// A VM's announcement that it runs or ran a job.
struct JobClaim {
  std::string m_owner;
  uint64_t m_owner_incarnation = 0;
  bool m_open = true;
  Millis m_recorded;  // monotonic time
};

class JobClaims {
 public:
  void Record(std::string_view job, JobClaim claim);
  void Forget(std::string_view job);
  void OnGossip(const GossipMessage& gossip, Millis now);
  // Removes claims of closed jobs that are older than `retention`.
  void Expire(Millis now, Millis retention);

  // Returns null if no claim of the job is known.
  const JobClaim* Find(std::string_view job) const;
  // Returns the open jobs whose owner is lost and that this VM should take
  // over. The job id determines which VM that is, so that each
  // orphan is taken over by one VM.
  std::vector<std::string> FindOrphans(const ClusterView& cluster,
                                       Millis now) const;

 private:
  std::map<std::string, JobClaim, std::less<>> m_claims;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_JOB_CLAIMS_H_
