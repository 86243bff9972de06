// A batch job that this VM runs, in memory.

#ifndef BRONZECROSS_JOBS_JOB_H_
#define BRONZECROSS_JOBS_JOB_H_

#include <memory>
#include <span>
#include <string>
#include <vector>

#include "aio/cancellation.h"
#include "aio/task.h"
#include "aio/wait.h"
#include "dispatch/upstream.h"
#include "jobs/job_record.h"

namespace bronzecross {

enum class ItemPhase {
  kWaiting,  // for room at an upstream
  kRunning,
  kFinished,  // its result isn't listed yet
  kListed,
};

// How far an item is. What an upstream generated is kept when the item has to
// yield, and the next run resumes behind it.
struct ItemProgress {
  ItemPhase m_phase = ItemPhase::kWaiting;
  int64_t m_last_event = -1;  // -1: none
  std::string m_output;
  bool m_has_output = false;
  int m_failures = 0;   // answers that count as failed attempts
  int m_breaks = 0;     // runs in a row that ended without a new event
  Millis m_not_before;  // monotonic time before which it isn't tried again
};

struct Job;

// One run of an item at an upstream.
struct ItemRun {
  std::shared_ptr<Job> m_job;
  size_t m_item = 0;
  UpstreamPtr m_upstream;
  Millis m_started;
  CancelFlag m_cancel;
  // As the scheduler judged it last.
  Millis m_slack = kNever;
  bool m_is_urgent = false;
};

struct Job {
  JobSpec m_spec;
  JobState m_state;
  int64_t m_state_revision = 0;
  std::vector<ItemProgress> m_progress;  // one for each item
  // Expected number of events of each item's output.
  std::vector<int64_t> m_expected_events;
  // Results with a position, which the store has acknowledged.
  std::vector<JobResult> m_listed;
  // Results that wait for a position.
  std::vector<JobResult> m_unlisted;
  // Ended by its caller: nothing more runs.
  bool m_ending = false;
  // Replaced as owner, or forgotten: nothing more is written.
  bool m_dropped = false;
  bool m_is_committing = false;
  // Events generated when unfinished outputs were written last.
  int64_t m_saved_events = 0;
  Millis m_last_commit;
  // Monotonic time at which the job was done or ended.
  Millis m_closed_at;
  Condition m_changed;

  bool IsOpen() const {
    return m_state.m_phase == JobPhase::kOpen && !m_dropped;
  }
};

using JobPtr = std::shared_ptr<Job>;

// A job with the results that are listed so far.
JobPtr MakeJob(JobSpec spec,
               JobState state,
               int64_t state_revision,
               std::vector<JobResult> listed);

// Takes over what unfinished items had generated under an earlier owner.
void ApplyPartial(Job& job, std::span<const PartialOutput> outputs);

// What unfinished items have generated, up to `most_bytes`.
std::vector<PartialOutput> CollectPartial(const Job& job, size_t most_bytes);

// Events that unfinished items have generated.
int64_t CountPartialEvents(const Job& job);

// Tokens of the items that aren't finished.
int64_t CountUnfinishedTokens(const Job& job);

// Waits until no write about the job is under way, or until `deadline`.
Task<> WaitForCommit(JobPtr job, Millis deadline);

// Ends an item. Its output becomes its result.
void FinishItem(Job& job, size_t item, JobResultState state);

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_JOB_H_
