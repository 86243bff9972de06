#include "jobs/job.h"

#include <absl/container/flat_hash_set.h>

namespace bronzecross {

JobPtr MakeJob(JobSpec spec,
               JobState state,
               int64_t state_revision,
               std::vector<JobResult> listed) {
  JobPtr job = std::make_shared<Job>();
  job->m_progress.resize(spec.m_items.size());
  absl::flat_hash_set<std::string_view> done;
  for (const JobResult& result : listed) {
    done.insert(result.m_item);
  }
  for (size_t i = 0; i < spec.m_items.size(); ++i) {
    if (done.contains(spec.m_items[i].m_id)) {
      job->m_progress[i].m_phase = ItemPhase::kListed;
    }
  }
  job->m_spec = std::move(spec);
  job->m_state = std::move(state);
  job->m_state_revision = state_revision;
  job->m_listed = std::move(listed);
  return job;
}

int CountWaiting(const Job& job) {
  int count = 0;
  for (const ItemProgress& progress : job.m_progress) {
    count += progress.m_phase == ItemPhase::kWaiting ? 1 : 0;
  }
  return count;
}

int64_t CountUnfinishedTokens(const Job& job) {
  int64_t tokens = 0;
  for (size_t i = 0; i < job.m_progress.size(); ++i) {
    const ItemPhase phase = job.m_progress[i].m_phase;
    if (phase == ItemPhase::kWaiting || phase == ItemPhase::kRunning) {
      tokens += job.m_spec.m_items[i].m_tokens;
    }
  }
  return tokens;
}

void FinishItem(Job& job, size_t item, JobResultState state) {
  ItemProgress& progress = job.m_progress[item];
  progress.m_phase = ItemPhase::kFinished;
  JobResult result;
  result.m_item = job.m_spec.m_items[item].m_id;
  result.m_state = state;
  if (state == JobResultState::kCompleted) {
    result.m_output = std::move(progress.m_output);
  }
  progress.m_output.clear();
  job.m_unlisted.push_back(std::move(result));
  job.m_changed.NotifyAll();
}

}  // namespace bronzecross
