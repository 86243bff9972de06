// The record of one job in the store.

#ifndef BRONZECROSS_BATCH_JOB_RECORD_H_
#define BRONZECROSS_BATCH_JOB_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "base/error.h"

namespace bronzecross {

enum class JobState {
  kValidating,
  kInProgress,
  kFinalizing,
  kCompleted,
  kFailed,
  kExpired,
  kCancelling,
  kCancelled,
};

// Returns the OpenAI name of `state`.
std::string_view JobStateName(JobState state);

// Whether a job in `state` has ended.
bool IsFinal(JobState state);

struct JobCounts {
  int64_t m_total = 0;
  int64_t m_completed = 0;
  int64_t m_failed = 0;
};

struct JobRecord {
  std::string m_id;
  std::string m_workspace;
  std::string m_endpoint;
  std::string m_input_file_id;
  std::string m_completion_window;
  nlohmann::json m_metadata;
  JobState m_state = JobState::kValidating;
  // The VM that owns the job, and the incarnation of its daemon.
  std::string m_owner;
  int64_t m_owner_incarnation = 0;
  // Incremented with each change of owner.
  int64_t m_epoch = 1;
  // Wall times; zero if not reached yet.
  Millis m_created;
  Millis m_deadline;
  Millis m_ended;
  JobCounts m_counts;
  // Shown as an entry of `errors` in the batch object; empty if there is none.
  std::string m_error_message;
};

nlohmann::json JobToJson(const JobRecord& job);

// Fails with kCorrupt on a missing field or a wrong type.
Result<JobRecord> ParseJob(std::string_view text);

// Returns the OpenAI batch object.
nlohmann::json PublicBatch(const JobRecord& job);

// Returns the id of the ledger with the results of a job.
std::string OutputLedgerId(std::string_view job_id);

// Parses "24h", "30m" or "90s". Fails with kInvalidArgument if the text is
// malformed or the window is shorter than 1 s or longer than 30 days.
Result<Millis> ParseCompletionWindow(std::string_view text);

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_JOB_RECORD_H_
