#include "batch/announced_jobs.h"

namespace bronzecross {
namespace {

using nlohmann::json;

AnnouncedJob ParseAnnouncement(const std::string& owner,
                               const std::string& id,
                               const json& value) {
  AnnouncedJob job;
  job.m_id = id;
  job.m_owner = owner;
  value.at("e").get_to(job.m_epoch);
  value.at("w").get_to(job.m_workspace);
  job.m_deadline = Millis(value.at("d").get<int64_t>());
  value.at("s").get_to(job.m_state);
  value.at("stop").get_to(job.m_stopping);
  for (const auto& [capability, count] : value.at("open").items()) {
    job.m_ready[capability] = count.get<int64_t>();
  }
  const json& counts = value.at("n");
  job.m_counts = {counts.at(0), counts.at(1), counts.at(2)};
  value.at("late").get_to(job.m_late);
  job.m_expected_end = Millis(value.at("end").get<int64_t>());
  return job;
}

}  // namespace

void AnnouncedJobs::Update(const std::string& from,
                           const json& section,
                           Millis now) {
  VmAnnouncement announced;
  announced.m_received_at = now;
  for (const auto& [id, value] : section.items()) {
    announced.m_jobs.push_back(ParseAnnouncement(from, id, value));
  }
  absl::MutexLock lock(&m_mutex);
  m_by_vm.insert_or_assign(from, std::move(announced));
}

std::vector<AnnouncedJob> AnnouncedJobs::Jobs(Millis now) const {
  std::map<std::string_view, const AnnouncedJob*> newest;
  std::vector<AnnouncedJob> jobs;
  absl::MutexLock lock(&m_mutex);
  for (const auto& [from, announced] : m_by_vm) {
    if (now - announced.m_received_at > kAnnouncementLifetime) {
      continue;
    }
    for (const AnnouncedJob& job : announced.m_jobs) {
      const AnnouncedJob*& known = newest[job.m_id];
      if (known == nullptr || known->m_epoch < job.m_epoch) {
        known = &job;
      }
    }
  }
  for (const auto& [id, job] : newest) {
    jobs.push_back(*job);
  }
  return jobs;
}

std::optional<AnnouncedJob> AnnouncedJobs::Find(std::string_view id,
                                                Millis now) const {
  for (AnnouncedJob& job : Jobs(now)) {
    if (job.m_id == id) {
      return std::move(job);
    }
  }
  return std::nullopt;
}

}  // namespace bronzecross
