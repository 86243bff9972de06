// What is kept of a batch job in the key-value service, under these keys:
//   bx/job/ID/spec       what was submitted; never changes
//   bx/job/ID/state      who runs it and how far it is; each change is a
//                        compare-and-swap on its revision, which fences off an
//                        owner that was replaced
//   bx/job/ID/results/N  the Nth group of listed results; never changes
//   bx/job/ID/partial    what unfinished items have generated, now and then;
//                        a new owner goes on from there
//   bx/open/ID           exists while the job is open, so that open jobs can be
//                        found

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
  std::string m_host;       // sent to upstreams
  Millis m_submitted;       // Unix time
  Millis m_due;             // Unix time
  Millis m_retained_until;  // Unix time after which items may be given up
  std::vector<JobItem> m_items;
};

enum class JobPhase {
  kOpen = 0,
  kDone = 1,   // every item is listed
  kEnded = 2,  // by its caller
};

struct JobState {
  JobPhase m_phase = JobPhase::kOpen;
  std::string m_owner;  // VM that runs it
  uint64_t m_owner_incarnation = 0;
  std::string m_workspace;
  int64_t m_total = 0;   // items
  int64_t m_listed = 0;  // results with a position
  int64_t m_groups = 0;  // result groups
  // Random for each write, so that its writer recognizes it after a lost reply.
  std::string m_write_id;
};

// What an unfinished item has generated.
struct PartialOutput {
  int64_t m_item = 0;  // its position in the submission
  int64_t m_last_event = -1;
  std::string m_output;
};

inline constexpr std::string_view kOpenJobPrefix = "bx/open/";

std::string JobSpecKey(std::string_view job);
std::string JobStateKey(std::string_view job);
std::string JobPartialKey(std::string_view job);
std::string JobResultsPrefix(std::string_view job);
std::string JobResultsKey(std::string_view job, int64_t group);
std::string OpenJobKey(std::string_view job);

// MessagePack. Decoders return nothing if the bytes can't be read.
std::string EncodeJobSpec(const JobSpec& spec);
std::optional<JobSpec> DecodeJobSpec(std::string_view bytes);
std::string EncodeJobState(const JobState& state);
std::optional<JobState> DecodeJobState(std::string_view bytes);
std::string EncodeResultGroup(std::span<const JobResult> results);
std::optional<std::vector<JobResult>> DecodeResultGroup(std::string_view bytes);

std::string EncodePartial(std::span<const PartialOutput> outputs);
std::optional<std::vector<PartialOutput>> DecodePartial(std::string_view bytes);

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_JOB_RECORD_H_
