#include "jobs/job_takeover.h"

#include <algorithm>
#include <vector>

#include "aio/wait.h"
#include "base/log.h"
#include "base/random.h"
#include "placement/home_regions.h"

namespace bronzecross {
namespace {

// Interval of the checks for orphaned jobs.
constexpr Millis kTakeoverInterval{500};

// Scans of the store for open jobs that no VM has announced. Each VM scans a
// few times after its start, when many jobs can be orphaned. Later one VM scans
// for the whole fleet.
constexpr int kStartupScans = 2;
constexpr Millis kStartupScanInterval{2'500};
constexpr Millis kScanInterval{5'000};
// Key by which all VMs select the same VM for the scans of the fleet.
constexpr std::string_view kScannerKey = "scan of open jobs";

// A job that this VM may not hold isn't looked at again before this time. The
// VMs that may hold it take it over within a check, and the configuration may
// change.
constexpr Millis kDeclinedPause{5'000};

// Wait after the start before the list of live VMs counts as complete.
constexpr Millis kMembershipSettleTime{700};

}  // namespace

bool JobTakeover::IsInScope(std::string_view zone) const {
  const FleetConfigPtr config = m_dependencies.m_config();
  if (config == nullptr || !config->m_has_homes) {
    return true;
  }
  const PlacementSettings& placement = m_dependencies.m_placement;
  return RegionOfZone(zone, placement) ==
         OwnRegion(m_dependencies.m_cluster.Self().m_zone, placement);
}

std::string JobTakeover::FirstVmFor(std::string_view key, Millis now) const {
  return m_dependencies.m_cluster.FirstResponsiveVmFor(
      key, now, [this](std::string_view zone) { return IsInScope(zone); });
}

Task<std::optional<bool>> JobTakeover::MayHold(std::string id) {
  const FleetConfigPtr config = m_dependencies.m_config();
  if (config == nullptr || !config->m_has_homes) {
    co_return true;
  }
  const Result<StoredState> stored = co_await m_store.ReadState(id);
  if (!stored) {
    // Without a state there is no job, and the takeover settles that.
    co_return stored.error().m_code == ResultCode::kNotFound
        ? std::optional<bool>(true)
        : std::nullopt;
  }
  if (stored->m_state.m_owner == m_dependencies.m_cluster.Self().m_id) {
    co_return true;
  }
  const Result<std::string> name = co_await m_store.ReadRoute(id);
  if (!name && name.error().m_code != ResultCode::kNotFound) {
    co_return std::nullopt;
  }
  const Millis now = MonotonicNow();
  if (stored->m_state.m_phase != JobPhase::kOpen) {
    m_table.m_claims.Record(id,
                            ClaimOf(stored->m_state, stored->m_revision, now));
  }
  const Route* route = name ? FindRouteByName(*config, *name) : nullptr;
  // Without a route, no item of the job can run.
  const bool may_hold =
      stored->m_state.m_phase == JobPhase::kOpen && route != nullptr &&
      IsAllowedRegion(
          OwnRegion(m_dependencies.m_cluster.Self().m_zone,
                    m_dependencies.m_placement),
          AllowedRegionsOf(*route, FindWorkspaceByName(
                                       *config, stored->m_state.m_workspace)));
  if (!may_hold) {
    Log(Severity::kInfo, LogPart::kBatch,
        "A job isn't taken over, as this VM may not hold it.",
        {{"job", id}, {"owner", stored->m_state.m_owner}});
  }
  co_return may_hold;
}

Task<> JobTakeover::TakeOver(std::string id) {
  if (m_table.Has(id)) {
    m_table.m_unsettled.erase(id);
    co_return;
  }
  const std::optional<bool> may_hold = co_await MayHold(id);
  if (!may_hold) {
    co_return;  // the store can't be read; the next check tries again
  }
  if (!*may_hold) {
    m_declined[id] = MonotonicNow() + kDeclinedPause;
    Settle(id, MonotonicNow());
    co_return;
  }
  Result<JobSnapshot> stored = co_await m_store.ReadSnapshot(id);
  if (!stored) {
    if (stored.error().m_code == ResultCode::kNotFound) {
      m_table.m_claims.Forget(id);
      Settle(id, MonotonicNow());
    }
    co_return;
  }
  const BatchJobState state = stored->m_state.m_state;
  const int64_t revision = stored->m_state.m_revision;
  const VmRecord& self = m_dependencies.m_cluster.Self();
  const Millis now = MonotonicNow();
  const bool is_open = state.m_phase == JobPhase::kOpen;
  const bool is_own = state.m_owner == self.m_id &&
                      state.m_owner_incarnation == self.m_incarnation;
  const JobClaim* claim = m_table.m_claims.Find(id);
  const bool is_forgotten =
      claim != nullptr && claim->m_owner == state.m_owner &&
      claim->m_owner_incarnation == state.m_owner_incarnation &&
      IsForgotten(*claim, m_dependencies.m_cluster);
  if (!is_open || (!is_own && !is_forgotten &&
                   !m_dependencies.m_cluster.IsLost(
                       state.m_owner, state.m_owner_incarnation, now))) {
    m_table.m_claims.Record(id, ClaimOf(state, revision, now));
    Settle(id, now);
    co_return;
  }
  Result<JobPtr> job = co_await m_store.TakeOver(*std::move(stored));
  if (!job) {
    Log(Severity::kInfo, LogPart::kBatch, "Couldn't take over a job.",
        {{"job", id}, {"reason", job.error().m_message}});
    // The write may still take effect, and all others would take this VM for
    // the owner then.
    m_table.m_unsettled[id] =
        MonotonicNow() +
        (job.error().m_run == RunState::kUnknown ? kLateWriteTime : Millis());
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

void JobTakeover::Settle(std::string_view id, Millis now) {
  const auto found = m_table.m_unsettled.find(id);
  if (found != m_table.m_unsettled.end() && found->second <= now) {
    m_table.m_unsettled.erase(found);
  }
}

bool JobTakeover::IsScanner(Millis now) const {
  return FirstVmFor(kScannerKey, now) == m_dependencies.m_cluster.Self().m_id;
}

Task<std::vector<std::string>> JobTakeover::Scan(Millis now) {
  std::vector<std::string> orphans;
  const bool is_startup_scan = m_startup_scans < kStartupScans;
  if (now < m_next_scan || m_draining || !(is_startup_scan || IsScanner(now))) {
    co_return orphans;
  }
  // Jobs that were accepted just before the loss of all VMs are missing in an
  // outdated list. The later scans only look for what the first one left.
  const Result<std::vector<std::string>> open = co_await m_store.ListOpen(
      m_startup_scans == 0 ? KvReadMode::kLatest : KvReadMode::kMayBeStale);
  if (!open) {
    co_return orphans;
  }
  ++m_startup_scans;
  // A random offset keeps the VMs from scanning at the same time.
  const Millis pause = is_startup_scan ? kStartupScanInterval : kScanInterval;
  m_next_scan = now + pause +
                Millis(static_cast<int64_t>(
                    RandomBelow(ThreadRandom(), kStartupScanInterval.count())));
  for (const std::string& id : *open) {
    // A claim that its owner hasn't announced doesn't show that the job runs.
    const JobClaim* claim = m_table.m_claims.Find(id);
    const bool is_announced =
        claim != nullptr && (claim->m_announced || !claim->m_open);
    // The scanner of the fleet takes over all of them, as no other VM scans.
    if (!is_announced && !m_table.Has(id) &&
        (!is_startup_scan ||
         FirstVmFor(id, now) == m_dependencies.m_cluster.Self().m_id)) {
      orphans.push_back(id);
    }
  }
  co_return orphans;
}

Task<> JobTakeover::Run() {
  co_await Sleep(kMembershipSettleTime);
  for (;;) {
    const Millis now = MonotonicNow();
    std::vector<std::string> orphans = m_table.m_claims.FindOrphans(
        m_dependencies.m_cluster, now, [this, now] { return IsScanner(now); },
        [this](std::string_view id) { return m_table.Has(id); },
        [this](std::string_view zone) { return IsInScope(zone); });
    for (auto entry = m_table.m_unsettled.begin();
         entry != m_table.m_unsettled.end(); ++entry) {
      orphans.push_back(entry->first);
    }
    const std::vector<std::string> found = co_await Scan(now);
    orphans.insert(orphans.end(), found.begin(), found.end());
    std::sort(orphans.begin(), orphans.end());
    orphans.erase(std::unique(orphans.begin(), orphans.end()), orphans.end());
    absl::erase_if(m_declined,
                   [now](const auto& entry) { return entry.second <= now; });
    for (const std::string& id : orphans) {
      if (!m_draining && !m_declined.contains(id)) {
        co_await TakeOver(id);
      }
    }
    co_await Sleep(kTakeoverInterval);
  }
}

}  // namespace bronzecross
