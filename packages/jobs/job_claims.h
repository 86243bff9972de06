// Which VM runs which open job, as far as this VM has heard.

#ifndef BRONZECROSS_JOBS_JOB_CLAIMS_H_
#define BRONZECROSS_JOBS_JOB_CLAIMS_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/cluster_view.h"

namespace bronzecross {

struct JobClaim {
  std::string m_owner;
  uint64_t m_owner_incarnation = 0;
  bool m_open = true;
  Millis m_noted;
};

class JobClaims {
 public:
  void Note(std::string_view job, JobClaim claim);
  void Forget(std::string_view job);
  void OnNews(const GossipMessage& news, Millis now);
  // Drops claims of closed jobs that are older than `retention`.
  void Expire(Millis now, Millis retention);

  // Null if nothing is known.
  const JobClaim* Find(std::string_view job) const;
  // Open jobs whose owner is lost and that this VM is the first to take over.
  std::vector<std::string> OrphansOf(const ClusterView& cluster,
                                     Millis now) const;

 private:
  std::map<std::string, JobClaim, std::less<>> m_claims;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_JOB_CLAIMS_H_
