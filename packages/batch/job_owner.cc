#include "batch/job_owner.h"

#include <algorithm>

#include <absl/time/time.h>

#include "base/log.h"
#include "membership/rendezvous.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr Millis kTick{100};
// Intervals at which the store is scanned: the shorter one applies for
// kFastScanDuration after the set of live VMs changed.
constexpr Millis kScanInterval{5000};
constexpr Millis kFastScanInterval{1000};
constexpr Millis kFastScanDuration{20'000};
constexpr Millis kAdoptTimeout{3000};
// How long the job of a submission with an unknown outcome is looked up in the
// store.
constexpr Millis kPendingAdoptionTimeout{60'000};
// Maximum number of jobs announced at the same time, earliest deadline first.
constexpr size_t kMaxAnnounced = 64;

}  // namespace

JobOwner::JobOwner(JobContext& context, AnnouncedJobs& announced_jobs)
    : m_context(context), m_announced_jobs(announced_jobs) {}

JobOwner::~JobOwner() {
  Stop();
}

void JobOwner::Start() {
  m_thread = std::thread([this] { Run(); });
}

void JobOwner::Stop() {
  std::map<std::string, std::shared_ptr<JobRun>, std::less<>> runs;
  {
    absl::MutexLock lock(&m_mutex);
    m_stopping = true;
    runs.swap(m_runs);
  }
  if (m_thread.joinable()) {
    m_thread.join();
  }
  for (const auto& [id, run] : runs) {
    run->Stop();
  }
}

void JobOwner::Accept(StoredJob job) {
  StartRun(std::move(job), true);
}

void JobOwner::StartRun(StoredJob job, bool newly_accepted) {
  absl::MutexLock lock(&m_mutex);
  if (m_stopping || m_runs.contains(job.m_job.m_id)) {
    return;
  }
  const std::string id = job.m_job.m_id;
  const std::shared_ptr<JobRun> run =
      std::make_shared<JobRun>(m_context, std::move(job), newly_accepted);
  m_runs[id] = run;
  run->Start();
}

Status JobOwner::Adopt(const std::string& id, bool take_over) {
  const std::shared_ptr<JobRun> run = Find(id);
  if (run != nullptr) {
    run->RequestRecordCheck();
    return {};
  }
  Result<StoredJob> stored = m_context.m_store.Load(id);
  if (!stored) {
    return tl::unexpected<Error>(stored.error());
  }
  JobRecord& job = stored->m_job;
  if (IsFinal(job.m_state)) {
    return {};
  }
  const Member& self = m_context.m_membership.Self();
  if (job.m_owner != self.m_id ||
      job.m_owner_incarnation != self.m_incarnation) {
    if (!take_over) {
      return Fail(ResultCode::kNotOwner, "another VM owns the job");
    }
    Log(Severity::kInfo, LogPart::kBatch, "Taking over a job.",
        {{"job", id}, {"from", job.m_owner}, {"epoch", job.m_epoch + 1}});
    job.m_owner = self.m_id;
    job.m_owner_incarnation = self.m_incarnation;
    ++job.m_epoch;
    const Result<int64_t> saved =
        m_context.m_store.Save(job, stored->m_revision);
    if (!saved) {
      return tl::unexpected<Error>(saved.error());
    }
    stored->m_revision = *saved;
  }
  StartRun(std::move(*stored), false);
  return {};
}

void JobOwner::AdoptLater(const std::string& id) {
  absl::MutexLock lock(&m_mutex);
  m_pending_adoptions[id] = MonotonicNow();
}

std::shared_ptr<JobRun> JobOwner::Find(std::string_view id) const {
  absl::MutexLock lock(&m_mutex);
  const auto found = m_runs.find(id);
  return found == m_runs.end() ? nullptr : found->second;
}

json JobOwner::Announce() const {
  absl::MutexLock lock(&m_mutex);
  return m_announcement;
}

void JobOwner::Run() {
  while (true) {
    {
      absl::MutexLock lock(&m_mutex);
      if (m_mutex.AwaitWithTimeout(absl::Condition(&m_stopping),
                                   absl::Milliseconds(kTick.count()))) {
        return;
      }
    }
    RefreshRuns();
    AdoptPending();
    ScanOpenJobs();
  }
}

void JobOwner::RefreshRuns() {
  std::vector<std::shared_ptr<JobRun>> ended;
  std::vector<std::pair<std::string, std::shared_ptr<JobRun>>> runs;
  {
    absl::MutexLock lock(&m_mutex);
    for (auto it = m_runs.begin(); it != m_runs.end();) {
      if (it->second->HasEnded()) {
        ended.push_back(it->second);
        it = m_runs.erase(it);
      } else {
        runs.push_back(*it);
        ++it;
      }
    }
  }
  json announcement = json::object();
  std::vector<std::pair<int64_t, json>> by_deadline;
  for (const auto& [id, run] : runs) {
    json entry = run->Announce();
    by_deadline.push_back({entry["d"].get<int64_t>(), json{{id, entry}}});
  }
  std::sort(by_deadline.begin(), by_deadline.end());
  for (const auto& [deadline, entry] : by_deadline) {
    if (announcement.size() < kMaxAnnounced) {
      announcement.update(entry);
    }
  }
  m_announced_jobs.Update(m_context.m_membership.Self().m_id, announcement,
                          MonotonicNow());
  absl::MutexLock lock(&m_mutex);
  m_announcement = std::move(announcement);
}

void JobOwner::AdoptPending() {
  std::map<std::string, Millis> pending;
  {
    absl::MutexLock lock(&m_mutex);
    pending = m_pending_adoptions;
  }
  for (const auto& [id, since] : pending) {
    const Status adopted = Adopt(id, false);
    const bool open =
        !adopted && (adopted.error().m_code == ResultCode::kNotFound ||
                     adopted.error().m_code == ResultCode::kStoreUnavailable);
    if (!open || MonotonicNow() - since > kPendingAdoptionTimeout) {
      absl::MutexLock lock(&m_mutex);
      m_pending_adoptions.erase(id);
    } else {
      break;
    }
  }
}

void JobOwner::ScanOpenJobs() {
  const Millis now = MonotonicNow();
  const std::vector<Member> live = m_context.m_membership.Live();
  std::set<std::string> ids;
  for (const Member& member : live) {
    ids.insert(member.m_id);
  }
  if (ids != m_last_live_vms) {
    m_last_live_vms = ids;
    m_fast_scan_until = now + kFastScanDuration;
    m_next_scan = std::min(m_next_scan, now + kFastScanInterval);
  }
  if (now < m_next_scan ||
      FirstMember("job-scan", live) != m_context.m_membership.Self().m_id) {
    return;
  }
  m_next_scan =
      now + (now < m_fast_scan_until ? kFastScanInterval : kScanInterval);
  const Result<std::vector<OpenJob>> open = m_context.m_store.ListOpen();
  if (!open || open->empty()) {
    return;
  }
  const Result<std::map<std::string, int64_t>> vms =
      m_context.m_store.ListVms();
  if (!vms) {
    return;
  }
  for (const OpenJob& job : *open) {
    CheckJobOwner(job, *vms, now);
  }
  std::erase_if(m_condition_since, [&](const auto& entry) {
    return std::none_of(open->begin(), open->end(), [&](const OpenJob& job) {
      return job.m_id == entry.first;
    });
  });
}

void JobOwner::CheckJobOwner(const OpenJob& job,
                             const std::map<std::string, int64_t>& vms,
                             Millis now) {
  OwnerStatus status;
  const auto record = vms.find(job.m_owner);
  status.m_has_record =
      record != vms.end() && record->second == job.m_owner_incarnation;
  status.m_restarted =
      record != vms.end() && record->second != job.m_owner_incarnation;
  const std::vector<Member> live = m_context.m_membership.Live();
  status.m_recently_seen =
      std::any_of(live.begin(), live.end(), [&](const Member& member) {
        return member.m_id == job.m_owner &&
               member.m_incarnation == job.m_owner_incarnation;
      });
  const std::optional<AnnouncedJob> announced =
      m_announced_jobs.Find(job.m_id, now);
  status.m_announces = announced && announced->m_owner == job.m_owner;
  status.m_misses_cancel =
      job.m_cancelling && announced && !announced->m_stopping;
  if (status.m_has_record && status.m_announces && !status.m_misses_cancel) {
    m_condition_since.erase(job.m_id);
    return;
  }
  const Millis since =
      m_condition_since.try_emplace(job.m_id, now).first->second;
  status.m_condition_age = now - since;
  const OwnerAction action = DecideOwnerAction(status);
  if (action == OwnerAction::kNone) {
    return;
  }
  const std::string target = action == OwnerAction::kCheckRecord
                                 ? job.m_owner
                                 : FirstMember("job:" + job.m_id, live);
  Log(Severity::kInfo, LogPart::kBatch,
      action == OwnerAction::kCheckRecord
          ? "Asking a job's owner to check the job's record."
          : "A job has no live owner.",
      {{"job", job.m_id},
       {"owner", job.m_owner},
       {"to", target},
       {"record", status.m_has_record},
       {"heard", status.m_recently_seen},
       {"since_ms", status.m_condition_age}});
  const Result<json> done = m_context.m_call(
      target, "batch.adopt",
      {{"job", job.m_id}, {"take_over", action == OwnerAction::kTakeOver}},
      kAdoptTimeout);
  if (!done) {
    LogError(Severity::kWarning, LogPart::kBatch,
             "Cannot ask a VM to adopt a job.", done.error());
  }
}

}  // namespace bronzecross
