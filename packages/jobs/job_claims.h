// Keeps the last known owner of each job.

#ifndef BRONZECROSS_JOBS_JOB_CLAIMS_H_
#define BRONZECROSS_JOBS_JOB_CLAIMS_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <absl/functional/function_ref.h>

#include "cluster/cluster_view.h"
#include "jobs/job_record.h"

namespace bronzecross {

// What this VM knows of the owner of a job, from the owner's announcements or
// from the stored state of the job.
struct JobClaim {
  std::string m_owner;
  uint64_t m_owner_incarnation = 0;
  bool m_open = true;
  // Revision of the job's state that shows this owner. A claim never gives way
  // to one with a lower revision.
  int64_t m_revision = 0;
  // Monotonic time at which this owner became known.
  Millis m_recorded;
  // The owner itself has announced the job. Before that it may not know that it
  // owns it, as after a write whose reply was lost.
  bool m_announced = false;
  // This VM has answered a caller about the job, so it must see to it that the
  // job has an owner: it may be the only VM that knows of the job.
  bool m_watched = false;
};

// Returns the claim that a job's state, stored at `revision`, shows at the time
// `now`.
JobClaim ClaimOf(const BatchJobState& state, int64_t revision, Millis now);

// Returns true if the owner of the claim is alive but has had time to announce
// the job and hasn't done so.
bool IsForgotten(const JobClaim& claim, const ClusterView& cluster);

// The scope of all VMs.
inline bool IsAnyZone(std::string_view) {
  return true;
}

class JobClaims {
 public:
  // Adds a claim, or replaces one with a lower or the same revision. What is
  // known of the same owner is kept, and a watched job stays watched.
  void Record(std::string_view job, JobClaim claim);
  void Forget(std::string_view job);
  void OnGossip(const GossipMessage& gossip, Millis now);
  // Removes claims of closed jobs that are older than `retention`.
  void Expire(Millis now, Millis retention);

  // Returns null if no claim of the job is known.
  const JobClaim* Find(std::string_view job) const;
  // Returns the open jobs that this VM should take over: those whose owner is
  // lost or has forgotten them, and those of which this VM is the owner
  // although `runs_here` is false, as after a takeover whose effect it didn't
  // learn of. The job id determines the VM that takes a job over. As that VM
  // may not know of the job, a VM that watches the job takes it over, too, and
  // so does the VM that scans the store for the fleet. Only this VM and VMs in
  // zones for which `is_in_scope` is true are considered.
  std::vector<std::string> FindOrphans(
      const ClusterView& cluster,
      Millis now,
      absl::FunctionRef<bool()> is_scanner,
      absl::FunctionRef<bool(std::string_view)> runs_here,
      absl::FunctionRef<bool(std::string_view)> is_in_scope = IsAnyZone) const;

 private:
  std::map<std::string, JobClaim, std::less<>> m_claims;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_JOB_CLAIMS_H_
