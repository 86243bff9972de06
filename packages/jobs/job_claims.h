// Keeps the last known owner of each job.

#ifndef BRONZECROSS_JOBS_JOB_CLAIMS_H_
#define BRONZECROSS_JOBS_JOB_CLAIMS_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <absl/functional/function_ref.h>

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
  // Returns the open jobs that this VM should take over: those whose owner is
  // lost, where the job id determines the VM, so that each is taken over by one
  // VM; and those of which this VM is the owner although `runs_here` is false,
  // as after a takeover whose effect it didn't learn of.
  std::vector<std::string> FindOrphans(
      const ClusterView& cluster,
      Millis now,
      absl::FunctionRef<bool(std::string_view)> runs_here) const;

 private:
  std::map<std::string, JobClaim, std::less<>> m_claims;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_JOB_CLAIMS_H_
