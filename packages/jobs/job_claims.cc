#include "jobs/job_claims.h"

namespace bronzecross {
namespace {

// Time within which an owner announces a new job, with lost gossip messages.
constexpr Millis kAnnounceTime{3'000};

bool HasSameOwner(const JobClaim& a, const JobClaim& b) {
  return a.m_owner == b.m_owner &&
         a.m_owner_incarnation == b.m_owner_incarnation;
}

}  // namespace

JobClaim ClaimOf(const BatchJobState& state, int64_t revision, Millis now) {
  return JobClaim{.m_owner = state.m_owner,
                  .m_owner_incarnation = state.m_owner_incarnation,
                  .m_open = state.m_phase == JobPhase::kOpen,
                  .m_revision = revision,
                  .m_recorded = now};
}

bool IsForgotten(const JobClaim& claim, const ClusterView& cluster) {
  const auto owner = cluster.Peers().find(claim.m_owner);
  return !claim.m_announced && owner != cluster.Peers().end() &&
         owner->second.m_last_seen - claim.m_recorded > kAnnounceTime;
}

void JobClaims::Record(std::string_view job, JobClaim claim) {
  const auto [entry, is_new] = m_claims.try_emplace(std::string(job));
  JobClaim& known = entry->second;
  if (claim.m_revision < known.m_revision) {
    known.m_watched = known.m_watched || claim.m_watched;
    return;
  }
  if (!is_new) {
    claim.m_watched = claim.m_watched || known.m_watched;
  }
  if (!is_new && HasSameOwner(known, claim)) {
    claim.m_announced = claim.m_announced || known.m_announced;
    claim.m_recorded = claim.m_open ? known.m_recorded : claim.m_recorded;
  }
  known = std::move(claim);
}

void JobClaims::Forget(std::string_view job) {
  const auto found = m_claims.find(job);
  if (found != m_claims.end()) {
    m_claims.erase(found);
  }
}

void JobClaims::OnGossip(const GossipMessage& gossip, Millis now) {
  for (const JobAnnouncement& job : gossip.m_jobs) {
    Record(job.m_job,
           JobClaim{.m_owner = gossip.m_sender.m_id,
                    .m_owner_incarnation = gossip.m_sender.m_incarnation,
                    .m_open = job.m_open,
                    .m_revision = job.m_revision,
                    .m_recorded = now,
                    .m_announced = true});
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
    absl::FunctionRef<bool()> is_scanner,
    absl::FunctionRef<bool(std::string_view)> runs_here,
    absl::FunctionRef<bool(std::string_view)> is_in_scope) const {
  const VmRecord& self = cluster.Self();
  std::vector<std::string> orphans;
  for (auto entry = m_claims.begin(); entry != m_claims.end(); ++entry) {
    const JobClaim& claim = entry->second;
    if (!claim.m_open) {
      continue;
    }
    const bool is_own = claim.m_owner == self.m_id &&
                        claim.m_owner_incarnation == self.m_incarnation;
    if (is_own) {
      if (!runs_here(entry->first)) {
        orphans.push_back(entry->first);
      }
      continue;
    }
    const bool is_abandoned =
        cluster.IsLost(claim.m_owner, claim.m_owner_incarnation, now) ||
        IsForgotten(claim, cluster);
    if (is_abandoned && (claim.m_watched ||
                         cluster.FirstResponsiveVmFor(
                             entry->first, now, is_in_scope) == self.m_id ||
                         is_scanner())) {
      orphans.push_back(entry->first);
    }
  }
  return orphans;
}

}  // namespace bronzecross
