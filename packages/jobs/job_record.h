// Encoding of batch jobs in the key-value service. Each job uses these keys:
//   bx/job/ID/spec       the submitted job; immutable
//   bx/job/ID/state      owner and progress; each change is a
//                        compare-and-swap on the revision, which fences an
//                        owner that was replaced
//   bx/job/ID/results/N  the Nth group of listed results; immutable
//   bx/job/ID/partial    output and failed attempts of unfinished items, saved
//                        at intervals; a new owner goes on from there
//   bx/open/ID           the name of the job's route, while the job is open;
//                        these keys are the index of open jobs
// The hosts for which jobs were accepted are listed beside them (job_hosts.h).

#ifndef BRONZECROSS_JOBS_JOB_RECORD_H_
#define BRONZECROSS_JOBS_JOB_RECORD_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "jobs/job_types.h"

namespace bronzecross {

struct JobSpec {
  std::string m_id;
  std::string m_workspace;
  std::string m_route;
  std::string m_host;       // Host header for upstreams
  Millis m_submitted;       // Unix time
  Millis m_due;             // Unix time
  Millis m_retained_until;  // Unix time after which items may be abandoned
  std::vector<JobItem> m_items;
};

enum class JobPhase {
  kOpen = 0,
  kDone = 1,       // every item has a listed result
  kCancelled = 2,  // by the caller
  // Stored, but not accepted. It counts as no job: it never runs, and another
  // VM may replace it.
  kTentative = 3,
};

struct BatchJobState {
  JobPhase m_phase = JobPhase::kOpen;
  std::string m_owner;  // id of the VM that runs the job; empty if released
  uint64_t m_owner_incarnation = 0;
  std::string m_workspace;
  int64_t m_total = 0;   // number of items
  int64_t m_listed = 0;  // number of listed results
  int64_t m_groups = 0;  // number of result groups
  // Random id of each write. After a lost reply, the writer compares it to find
  // out whether its write was applied.
  std::string m_write_id;
};

// What is known of an unfinished item: its output so far, and its failed
// attempts, which a new owner goes on counting.
struct PartialOutput {
  int64_t m_item = 0;         // index in JobSpec::m_items
  int64_t m_last_event = -1;  // -1: no output
  std::string m_output;
  int64_t m_failures = 0;
};

inline constexpr std::string_view kOpenJobPrefix = "bx/open/";

// Returns whether the id can be part of the keys of a job: 1 to 100 letters,
// digits and marks other than a slash, so that no job's keys are those of
// another one.
bool IsValidJobId(std::string_view id);

// Returns the prefix of all keys below.
std::string JobPrefix(std::string_view job);
std::string JobSpecKey(std::string_view job);
std::string JobStateKey(std::string_view job);
std::string JobPartialKey(std::string_view job);
std::string JobResultsPrefix(std::string_view job);
std::string JobResultsKey(std::string_view job, int64_t group);
std::string OpenJobKey(std::string_view job);

// The encoding is MessagePack. Decoders return std::nullopt for malformed
// bytes.
std::string EncodeJobSpec(const JobSpec& spec);
std::optional<JobSpec> DecodeJobSpec(std::string_view bytes);
std::string EncodeJobState(const BatchJobState& state);
std::optional<BatchJobState> DecodeJobState(std::string_view bytes);
std::string EncodeResultGroup(std::span<const JobResult> results);
std::optional<std::vector<JobResult>> DecodeResultGroup(std::string_view bytes);

std::string EncodePartial(std::span<const PartialOutput> outputs);
std::optional<std::vector<PartialOutput>> DecodePartial(std::string_view bytes);

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_JOB_RECORD_H_
