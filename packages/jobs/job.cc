#include "jobs/job.h"

#include <algorithm>
#include <climits>

#include <absl/container/flat_hash_set.h>

#include "platform/request_headers.h"

namespace bronzecross {

namespace {

// Number of tokens in one event of an inference engine's stream.
constexpr int64_t kTokensPerEvent = 10;

// Expected output in events of items without an estimate of their output
// length.
constexpr int64_t kDefaultEvents = 150;

// Maximum bytes of output that are listed in one write. The store limits a
// value to one megabyte.
constexpr size_t kMaxGroupBytes = 400 << 10;

int64_t ExpectedEvents(const JobItem& item) {
  const int64_t tokens = platform::ExpectedOutputTokens(item.m_fields);
  return tokens > 0 ? tokens / kTokensPerEvent : kDefaultEvents;
}

}  // namespace

JobPtr MakeJob(JobSpec spec,
               BatchJobState state,
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
      job->m_progress[i].m_phase = BatchItemPhase::kListed;
    }
  }
  for (const JobItem& item : spec.m_items) {
    job->m_expected_events.push_back(ExpectedEvents(item));
  }
  job->m_spec = std::move(spec);
  job->m_boot_offset = BootNow() - WallNow();
  job->m_state = std::move(state);
  job->m_state_revision = state_revision;
  job->m_listed = std::move(listed);
  return job;
}

Millis RetentionLeft(const Job& job, Millis boot_now) {
  return job.m_spec.m_retained_until + job.m_boot_offset - boot_now;
}

Millis AgeOf(const Job& job, Millis boot_now) {
  return boot_now - (job.m_spec.m_submitted + job.m_boot_offset);
}

void ApplyPartial(Job& job, std::span<const PartialOutput> outputs) {
  for (const PartialOutput& output : outputs) {
    const size_t index = static_cast<size_t>(output.m_item);
    if (index >= job.m_progress.size()) {
      continue;
    }
    ItemProgress& progress = job.m_progress[index];
    if (progress.m_phase != BatchItemPhase::kWaiting) {
      continue;
    }
    progress.m_failures =
        static_cast<int>(std::clamp<int64_t>(output.m_failures, 0, INT_MAX));
    if (output.m_last_event >= 0) {
      progress.m_last_event = output.m_last_event;
      progress.m_output = output.m_output;
      progress.m_has_output = true;
    }
  }
  job.m_saved_failures = CountFailures(job);
}

std::vector<PartialOutput> CollectPartial(const Job& job, size_t max_bytes) {
  std::vector<PartialOutput> outputs;
  size_t bytes = 0;
  for (size_t i = 0; i < job.m_progress.size(); ++i) {
    const ItemProgress& progress = job.m_progress[i];
    const bool is_unfinished = progress.m_phase == BatchItemPhase::kWaiting ||
                               progress.m_phase == BatchItemPhase::kRunning;
    bytes += is_unfinished ? progress.m_output.size() : 0;
    PartialOutput output;
    output.m_item = static_cast<int64_t>(i);
    output.m_failures = progress.m_failures;
    if (progress.m_last_event >= 0 && bytes <= max_bytes) {
      output.m_last_event = progress.m_last_event;
      output.m_output = progress.m_output;
    }
    if (is_unfinished && (output.m_last_event >= 0 || output.m_failures > 0)) {
      outputs.push_back(std::move(output));
    }
  }
  return outputs;
}

int64_t CountPartialEvents(const Job& job) {
  int64_t events = 0;
  for (const ItemProgress& progress : job.m_progress) {
    if (progress.m_phase == BatchItemPhase::kWaiting ||
        progress.m_phase == BatchItemPhase::kRunning) {
      events += progress.m_last_event + 1;
    }
  }
  return events;
}

int64_t CountFailures(const Job& job) {
  int64_t failures = 0;
  for (const ItemProgress& progress : job.m_progress) {
    failures += progress.m_failures;
  }
  return failures;
}

int64_t CountUnfinishedTokens(const Job& job) {
  int64_t tokens = 0;
  for (size_t i = 0; i < job.m_progress.size(); ++i) {
    const BatchItemPhase phase = job.m_progress[i].m_phase;
    if (phase == BatchItemPhase::kWaiting ||
        phase == BatchItemPhase::kRunning) {
      tokens += job.m_spec.m_items[i].m_tokens;
    }
  }
  return tokens;
}

Task<> WaitForCommit(JobPtr job, Millis deadline) {
  while (job->m_is_committing && MonotonicNow() < deadline) {
    WaitAny wait(deadline);
    wait.Add(job->m_changed);
    co_await wait;
  }
}

size_t ResultGroupSize(std::span<const JobResult> results) {
  size_t bytes = 0;
  for (size_t i = 0; i < results.size(); ++i) {
    bytes += results[i].m_output.size();
    if (bytes > kMaxGroupBytes && i > 0) {
      return i;
    }
  }
  return results.size();
}

void FinishItem(Job& job, size_t item, JobResultState state) {
  ItemProgress& progress = job.m_progress[item];
  progress.m_phase = BatchItemPhase::kFinished;
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
