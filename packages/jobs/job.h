// In-memory state of a batch job that this VM runs.

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

enum class BatchItemPhase {
  kWaiting,  // for a free upstream slot
  kRunning,
  kFinished,  // the result has no position in the result list yet
  kListed,    // the store has acknowledged the result and its position
};

// Progress of an item. Generated output is kept when the item is preempted, and
// the next run resumes after the last received event.
struct ItemProgress {
  BatchItemPhase m_phase = BatchItemPhase::kWaiting;
  int64_t m_last_event = -1;  // id of the last received event; -1: none
  std::string m_output;
  bool m_has_output = false;
  // Responses that count as failed attempts.
  int m_failures = 0;
  // Consecutive runs that broke off without a new event.
  int m_runs_without_progress = 0;
  // Monotonic time before which the item is not run again.
  Millis m_not_before;
};

struct Job;

// One run of an item at an upstream.
struct ItemRun {
  std::shared_ptr<Job> m_job;
  size_t m_item = 0;
  UpstreamPtr m_upstream;
  Millis m_started;
  CancelFlag m_cancel;
  // Values that the scheduler computed in its last pass.
  Millis m_slack = kNever;
  bool m_is_urgent = false;
};

struct Job {
  JobSpec m_spec;
  // BootNow() - WallNow() when this VM got the job. By it the Unix times of
  // m_spec don't move when the wall clock is set.
  Millis m_boot_offset;
  BatchJobState m_state;
  int64_t m_state_revision = 0;
  std::vector<ItemProgress> m_progress;  // one entry for each item
  // Expected number of events of each item's output.
  std::vector<int64_t> m_expected_events;
  // Results in their order in the result list, acknowledged by the store.
  std::vector<JobResult> m_listed;
  // Results of finished items that have no position in the result list yet.
  std::vector<JobResult> m_unlisted;
  // The store may have cancelled the job: no further item starts until that is
  // known. A cancellation that was refused leaves the job as it was.
  bool m_may_be_cancelled = false;
  // Another VM owns the job, or this VM has removed it from memory: nothing
  // more is written to the store.
  bool m_dropped = false;
  // A write of the job is in progress. At most one runs at a time.
  bool m_is_committing = false;
  // BootNow() at which this VM was last known to own the job; see
  // job_ownership.h.
  Millis m_confirmed;
  // The ownership is being confirmed. If that failed, it is not tried again
  // before m_next_confirmation.
  bool m_is_confirming = false;
  Millis m_next_confirmation;
  // Number of events of unfinished items at the last write of partial outputs.
  int64_t m_saved_events = 0;
  // Number of failed attempts at the same time.
  int64_t m_saved_failures = 0;
  Millis m_last_commit;
  // Monotonic time at which the job was done or cancelled.
  Millis m_closed_at;
  Condition m_changed;

  bool IsOpen() const {
    return m_state.m_phase == JobPhase::kOpen && !m_dropped;
  }
};

using JobPtr = std::shared_ptr<Job>;

// Return how long items of the job must still be kept, and since when the job
// has been kept, at BootNow() `boot_now`.
Millis RetentionLeft(const Job& job, Millis boot_now);
Millis AgeOf(const Job& job, Millis boot_now);

// Creates a job. Items with a result in `listed` are marked as listed.
JobPtr MakeJob(JobSpec spec,
               BatchJobState state,
               int64_t state_revision,
               std::vector<JobResult> listed);

// Restores the output that unfinished items generated under an earlier owner,
// and their failed attempts. Entries for other items and for unknown positions
// are ignored.
void ApplyPartial(Job& job, std::span<const PartialOutput> outputs);

// Returns the output of unfinished items, up to `max_bytes` in total, and their
// failed attempts.
std::vector<PartialOutput> CollectPartial(const Job& job, size_t max_bytes);

// Returns the number of events that unfinished items have generated.
int64_t CountPartialEvents(const Job& job);

// Returns the number of failed attempts of all items.
int64_t CountFailures(const Job& job);

// Returns the total tokens of the items that are waiting or running.
int64_t CountUnfinishedTokens(const Job& job);

// Waits until no write of the job is in progress, or until `deadline`.
Task<> WaitForCommit(JobPtr job, Millis deadline);

// Returns the number of results for the next group: as many as fit into one
// value of the store, at least one if there are any.
size_t ResultGroupSize(std::span<const JobResult> results);

// Marks an item as finished and appends its result to the unlisted ones. The
// result carries the output only if `state` is kCompleted.
void FinishItem(Job& job, size_t item, JobResultState state);

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_JOB_H_
