#include "jobs/job_ownership.h"

#include "aio/wait.h"
#include "base/log.h"

namespace bronzecross {
namespace {

// A longer time between two checks counts as a pause. Other VMs wait for more
// than twice this time before they take a job over.
constexpr Millis kMaxCheckGap{1'000};

// How long a confirmation holds without contact to most other VMs.
constexpr Millis kConfirmedFor{1'000};

// Pause after a confirmation that failed.
constexpr Millis kRetryDelay{300};

}  // namespace

void UpdateContact(FleetContact& contact, bool hears_fleet, Millis now) {
  if (!hears_fleet || now - contact.m_last_check > kMaxCheckGap) {
    contact.m_since = now;
  }
  contact.m_last_check = now;
}

bool IsOwnershipCertain(const FleetContact& contact,
                        Millis confirmed,
                        Millis now) {
  const bool is_in_contact = now - contact.m_last_check <= kMaxCheckGap;
  return (is_in_contact && confirmed >= contact.m_since) ||
         now - confirmed <= kConfirmedFor;
}

void JobOwnership::Update() {
  UpdateContact(m_contact, m_dependencies.m_hears_fleet(), BootNow());
}

bool JobOwnership::IsCertain(const Job& job, Millis boot_now) const {
  return IsOwnershipCertain(m_contact, job.m_confirmed, boot_now);
}

Task<bool> JobOwnership::Confirm(JobPtr job) {
  while (job->m_is_confirming) {
    WaitAny wait(kNever);
    wait.Add(job->m_changed);
    co_await wait;
  }
  const Millis started = BootNow();
  if (job->m_dropped) {
    co_return false;
  }
  const bool is_certain = IsCertain(*job, started);
  if (is_certain || started < job->m_next_confirmation) {
    co_return is_certain;
  }
  const int64_t revision = job->m_state_revision;
  const bool was_committing = job->m_is_committing;
  job->m_is_confirming = true;
  const Result<StoredState> stored =
      co_await m_store.ReadState(job->m_spec.m_id);
  job->m_is_confirming = false;
  job->m_changed.NotifyAll();
  if (!stored && stored.error().m_code != ResultCode::kNotFound) {
    job->m_next_confirmation = BootNow() + kRetryDelay;
    co_return false;
  }
  if (!job->IsOpen()) {
    const bool is_closed = !job->m_dropped;
    co_return is_closed;
  }
  const VmRecord& self = m_dependencies.m_cluster.Self();
  const bool is_own = stored && stored->m_state.m_phase == JobPhase::kOpen &&
                      stored->m_state.m_owner == self.m_id &&
                      stored->m_state.m_owner_incarnation == self.m_incarnation;
  // A write in progress may have changed the revision.
  if (is_own && (was_committing || job->m_is_committing ||
                 stored->m_revision == revision ||
                 stored->m_revision == job->m_state_revision)) {
    job->m_confirmed = started;
    co_return true;
  }
  Log(Severity::kInfo, LogPart::kBatch,
      "Lost a job during a pause or a loss of contact.",
      {{"job", job->m_spec.m_id},
       {"revision", job->m_state_revision},
       {"stored_revision", stored ? stored->m_revision : 0},
       {"owner", stored ? stored->m_state.m_owner : "-"}});
  m_drop(*job);
  co_return false;
}

}  // namespace bronzecross
