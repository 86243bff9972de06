#include "batch/job_owner.h"

#include <algorithm>

#include <absl/time/time.h>

#include "base/log.h"
#include "membership/rendezvous.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr Millis kTick{100};
// The store is searched so often, and more often for a while after the set of
// live VMs changed.
constexpr Millis kScanInterval{5000};
constexpr Millis kEagerScanInterval{1000};
constexpr Millis kEagerFor{20'000};
constexpr Millis kAdoptTimeout{3000};
// A submission whose outcome is open is looked for until then.
constexpr Millis kAdoptWaitingFor{60'000};
// Jobs announced at once; the others follow as these end.
constexpr size_t kMaxAnnounced = 64;

}  // namespace

JobOwner::JobOwner(JobContext& context, OpenWork& open_work)
    : m_context(context), m_open_work(open_work) {}

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

void JobOwner::StartRun(StoredJob job, bool fresh) {
  absl::MutexLock lock(&m_mutex);
  if (m_stopping || m_runs.contains(job.m_job.m_id)) {
    return;
  }
  const std::string id = job.m_job.m_id;
  const std::shared_ptr<JobRun> run =
      std::make_shared<JobRun>(m_context, std::move(job), fresh);
  m_runs[id] = run;
  run->Start();
}

Status JobOwner::Adopt(const std::string& id, bool take_over) {
  const std::shared_ptr<JobRun> run = Find(id);
  if (run != nullptr) {
    run->Remind();
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
    Log(Severity::kInfo, LogPart::kBatch, "Taking a job over.",
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
  m_waiting[id] = MonotonicNow();
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
    Reap();
    AdoptWaiting();
    Scan();
  }
}

void JobOwner::Reap() {
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
  m_open_work.Take(m_context.m_membership.Self().m_id, announcement,
                   MonotonicNow());
  absl::MutexLock lock(&m_mutex);
  m_announcement = std::move(announcement);
}

void JobOwner::AdoptWaiting() {
  std::map<std::string, Millis> waiting;
  {
    absl::MutexLock lock(&m_mutex);
    waiting = m_waiting;
  }
  for (const auto& [id, since] : waiting) {
    const Status adopted = Adopt(id, false);
    const bool open =
        !adopted && (adopted.error().m_code == ResultCode::kNotFound ||
                     adopted.error().m_code == ResultCode::kStoreUnavailable);
    if (!open || MonotonicNow() - since > kAdoptWaitingFor) {
      absl::MutexLock lock(&m_mutex);
      m_waiting.erase(id);
    } else {
      break;
    }
  }
}

void JobOwner::Scan() {
  const Millis now = MonotonicNow();
  const std::vector<Member> live = m_context.m_membership.Live();
  std::set<std::string> ids;
  for (const Member& member : live) {
    ids.insert(member.m_id);
  }
  if (ids != m_live_before) {
    m_live_before = ids;
    m_eager_until = now + kEagerFor;
    m_next_scan = std::min(m_next_scan, now + kEagerScanInterval);
  }
  if (now < m_next_scan ||
      FirstMember("job-scan", live) != m_context.m_membership.Self().m_id) {
    return;
  }
  m_next_scan =
      now + (now < m_eager_until ? kEagerScanInterval : kScanInterval);
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
    JudgeJob(job, *vms, now);
  }
  std::erase_if(m_condition_since, [&](const auto& entry) {
    return std::none_of(open->begin(), open->end(), [&](const OpenJob& job) {
      return job.m_id == entry.first;
    });
  });
}

void JobOwner::JudgeJob(const OpenJob& job,
                        const std::map<std::string, int64_t>& vms,
                        Millis now) {
  OwnerView view;
  const auto record = vms.find(job.m_owner);
  view.m_has_record =
      record != vms.end() && record->second == job.m_owner_incarnation;
  view.m_restarted =
      record != vms.end() && record->second != job.m_owner_incarnation;
  const std::vector<Member> live = m_context.m_membership.Live();
  view.m_heard =
      std::any_of(live.begin(), live.end(), [&](const Member& member) {
        return member.m_id == job.m_owner &&
               member.m_incarnation == job.m_owner_incarnation;
      });
  const std::optional<AnnouncedJob> told = m_open_work.Find(job.m_id, now);
  view.m_announces = told && told->m_owner == job.m_owner;
  view.m_misses_cancel = job.m_cancelling && told && !told->m_stopping;
  if (view.m_has_record && view.m_announces && !view.m_misses_cancel) {
    m_condition_since.erase(job.m_id);
    return;
  }
  const Millis since =
      m_condition_since.try_emplace(job.m_id, now).first->second;
  view.m_since = now - since;
  const OwnerAction action = JudgeOwner(view);
  if (action == OwnerAction::kNone) {
    return;
  }
  const std::string target = action == OwnerAction::kRemind
                                 ? job.m_owner
                                 : FirstMember("job:" + job.m_id, live);
  Log(Severity::kInfo, LogPart::kBatch,
      action == OwnerAction::kRemind ? "Reminding a job's owner."
                                     : "A job has no living owner.",
      {{"job", job.m_id},
       {"owner", job.m_owner},
       {"to", target},
       {"record", view.m_has_record},
       {"heard", view.m_heard},
       {"since_ms", view.m_since}});
  const Result<json> done = m_context.m_call(
      target, "batch.adopt",
      {{"job", job.m_id}, {"take_over", action == OwnerAction::kTakeOver}},
      kAdoptTimeout);
  if (!done) {
    LogError(Severity::kWarning, LogPart::kBatch, "Cannot pass a job on.",
             done.error());
  }
}

}  // namespace bronzecross
