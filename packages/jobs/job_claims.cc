#include "jobs/job_claims.h"

namespace bronzecross {

void JobClaims::Record(std::string_view job, JobClaim claim) {
  m_claims[std::string(job)] = std::move(claim);
}

void JobClaims::Forget(std::string_view job) {
  const auto found = m_claims.find(job);
  if (found != m_claims.end()) {
    m_claims.erase(found);
  }
}

void JobClaims::OnGossip(const GossipMessage& gossip, Millis now) {
  for (const JobAnnouncement& job : gossip.m_jobs) {
    Record(job.m_job, JobClaim{gossip.m_sender.m_id,
                               gossip.m_sender.m_incarnation, job.m_open, now});
  }
}

void JobClaims::Expire(Millis now, Millis retention) {
  for (auto entry = m_claims.begin(); entry != m_claims.end();) {
    const JobClaim& claim = entry->second;
    if (!claim.m_open && now - claim.m_recorded > retention) {
      entry = m_claims.erase(entry);
    } else {
      ++entry;
    }
  }
}

const JobClaim* JobClaims::Find(std::string_view job) const {
  const auto found = m_claims.find(job);
  return found == m_claims.end() ? nullptr : &found->second;
}

std::vector<std::string> JobClaims::FindOrphans(
    const ClusterView& cluster,
    Millis now,
    absl::FunctionRef<bool(std::string_view)> runs_here) const {
  const VmRecord& self = cluster.Self();
  std::vector<std::string> orphans;
  for (auto entry = m_claims.begin(); entry != m_claims.end(); ++entry) {
    const JobClaim& claim = entry->second;
    if (!claim.m_open) {
      continue;
    }
    const bool is_own = claim.m_owner == self.m_id &&
                        claim.m_owner_incarnation == self.m_incarnation;
    const bool is_orphan =
        is_own
            ? !runs_here(entry->first)
            : cluster.IsLost(claim.m_owner, claim.m_owner_incarnation, now) &&
                  cluster.FirstResponsiveVmFor(entry->first, now) == self.m_id;
    if (is_orphan) {
      orphans.push_back(entry->first);
    }
  }
  return orphans;
}

}  // namespace bronzecross
