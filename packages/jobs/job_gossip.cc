// What JobService tells the other VMs of its jobs, and hears of theirs.

#include <map>

#include "base/log.h"
#include "base/random.h"
#include "base/text.h"
#include "jobs/job_service.h"

namespace bronzecross {
namespace {

// How long the owner of a job keeps announcing that it is closed.
constexpr Millis kAnnounceClosedFor{3'000};

uint32_t RouteWorkspaceHash(std::string_view route,
                            std::string_view workspace) {
  return ShortHash(Concat(route, "\n", workspace));
}

}  // namespace

int64_t JobService::WaitingTokensOf(std::string_view workspace,
                                    std::string_view route) const {
  int64_t tokens = 0;
  for (auto entry = m_table.m_jobs.begin(); entry != m_table.m_jobs.end();
       ++entry) {
    const Job& job = *entry->second;
    if (job.IsOpen() && job.m_spec.m_workspace == workspace &&
        job.m_spec.m_route == route) {
      tokens += CountUnfinishedTokens(job);
    }
  }
  const uint32_t key = RouteWorkspaceHash(route, workspace);
  const Millis now = MonotonicNow();
  for (auto entry = m_dependencies.m_cluster.Peers().begin();
       entry != m_dependencies.m_cluster.Peers().end(); ++entry) {
    const PeerVm& peer = entry->second;
    if (!IsRecentlySeen(peer, now, kRecentlySeenWindow)) {
      continue;
    }
    for (const WaitingTokens& waiting : peer.m_gossip.m_waiting_tokens) {
      tokens += waiting.m_route_workspace == key ? waiting.m_tokens : 0;
    }
  }
  return tokens;
}

void JobService::OnGossip(const GossipMessage& gossip, Millis now) {
  for (const JobAnnouncement& announced : gossip.m_jobs) {
    const auto found = m_table.m_jobs.find(announced.m_job);
    if (found == m_table.m_jobs.end()) {
      continue;
    }
    const JobPtr job = found->second;
    if (job->IsOpen() && announced.m_revision > job->m_state_revision) {
      Log(Severity::kInfo, LogPart::kBatch,
          "Another VM has announced a job of this VM.",
          {{"job", announced.m_job},
           {"vm", gossip.m_sender.m_id},
           {"revision", job->m_state_revision},
           {"announced_revision", announced.m_revision}});
      m_scheduler.Drop(*job);
    }
  }
  m_table.m_claims.OnGossip(gossip, now);
}

void JobService::CheckOwner(std::string_view id) {
  m_table.m_unsettled.emplace(id, MonotonicNow());
}

void JobService::AddToGossip(GossipMessage& gossip, Millis now) {
  std::map<uint32_t, int64_t> tokens;
  for (auto entry = m_table.m_jobs.begin(); entry != m_table.m_jobs.end();
       ++entry) {
    const Job& job = *entry->second;
    if (job.IsOpen()) {
      tokens[RouteWorkspaceHash(job.m_spec.m_route, job.m_spec.m_workspace)] +=
          CountUnfinishedTokens(job);
      gossip.m_jobs.push_back({entry->first, true, job.m_state_revision});
    } else if (now - job.m_closed_at < kAnnounceClosedFor) {
      gossip.m_jobs.push_back({entry->first, false, job.m_state_revision});
    }
  }
  for (auto entry = tokens.begin(); entry != tokens.end(); ++entry) {
    gossip.m_waiting_tokens.push_back({entry->first, entry->second});
  }
  m_scheduler.AddToGossip(gossip);
}

}  // namespace bronzecross
