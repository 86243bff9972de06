#include "jobs/job_takeover.h"

#include <vector>

#include "aio/wait.h"
#include "base/log.h"
#include "base/random.h"

namespace bronzecross {
namespace {

// How often orphaned jobs are looked for.
constexpr Millis kTakeoverEvery{500};

// How often the store is asked for open jobs that nobody has told of: by each
// VM after its start, when many jobs may be orphans, then by one VM of the
// fleet.
constexpr int kOwnScans = 2;
constexpr Millis kOwnScanPause{2'500};
constexpr Millis kScanEvery{5'000};
constexpr std::string_view kScannerKey = "scan of open jobs";

// After its start a VM waits this long before it judges which VMs are alive.
constexpr Millis kSettleTime{700};

}  // namespace

Task<> JobTakeover::TakeOver(std::string id) {
  if (m_table.Has(id)) {
    co_return;
  }
  const Result<StoredState> stored = co_await m_store.ReadState(id);
  if (!stored) {
    if (stored.error().m_code == ResultCode::kNotFound) {
      m_table.m_claims.Forget(id);
    }
    co_return;
  }
  const JobState& state = stored->m_state;
  const VmRecord& self = m_parts.m_cluster.Self();
  const Millis now = MonotonicNow();
  const bool is_open = state.m_phase == JobPhase::kOpen;
  const bool is_own = state.m_owner == self.m_id &&
                      state.m_owner_incarnation == self.m_incarnation;
  if (!is_open ||
      (!is_own && !m_parts.m_cluster.IsLost(state.m_owner,
                                            state.m_owner_incarnation, now))) {
    m_table.m_claims.Note(
        id, JobClaim{state.m_owner, state.m_owner_incarnation, is_open, now});
    co_return;
  }
  Result<JobPtr> job = co_await m_store.TakeOver(id, *stored);
  if (!job) {
    LogError(Severity::kInfo, LogPart::kBatch, "A job wasn't taken over.",
             job.error());
    co_return;
  }
  Log(Severity::kInfo, LogPart::kBatch, "Took over a job.",
      {{"job", id},
       {"from", state.m_owner},
       {"listed", (*job)->m_listed.size()},
       {"items", (*job)->m_spec.m_items.size()}});
  if (!m_table.Has(id)) {
    m_activate(*job);
  }
}

bool JobTakeover::IsScanner(Millis now) const {
  return m_parts.m_cluster.FirstResponsiveVmFor(kScannerKey, now) ==
         m_parts.m_cluster.Self().m_id;
}

Task<std::vector<std::string>> JobTakeover::Scan(Millis now) {
  std::vector<std::string> orphans;
  const bool is_own = m_own_scans < kOwnScans;
  if (now < m_next_scan || m_draining || !(is_own || IsScanner(now))) {
    co_return orphans;
  }
  const Result<std::vector<std::string>> open = co_await m_store.ListOpen();
  if (!open) {
    co_return orphans;
  }
  ++m_own_scans;
  // Spread over time, so that the VMs don't ask at the same moment.
  const Millis pause = is_own ? kOwnScanPause : kScanEvery;
  m_next_scan = now + pause +
                Millis(static_cast<int64_t>(
                    RandomBelow(ThreadRandom(), kOwnScanPause.count())));
  for (const std::string& id : *open) {
    const bool is_unknown =
        m_table.m_claims.Find(id) == nullptr && !m_table.Has(id);
    // The one scanner takes them all, as nobody else will look for them.
    if (is_unknown &&
        (!is_own || m_parts.m_cluster.FirstResponsiveVmFor(id, now) ==
                        m_parts.m_cluster.Self().m_id)) {
      orphans.push_back(id);
    }
  }
  co_return orphans;
}

Task<> JobTakeover::Run() {
  co_await Sleep(kSettleTime);
  for (;;) {
    const Millis now = MonotonicNow();
    std::vector<std::string> orphans =
        m_table.m_claims.OrphansOf(m_parts.m_cluster, now);
    const std::vector<std::string> found = co_await Scan(now);
    orphans.insert(orphans.end(), found.begin(), found.end());
    for (const std::string& id : orphans) {
      if (!m_draining) {
        co_await TakeOver(id);
      }
    }
    co_await Sleep(kTakeoverEvery);
  }
}

}  // namespace bronzecross
