// Decides from which job a dispatcher requests items next.

#ifndef BRONZECROSS_BATCH_NEXT_JOB_H_
#define BRONZECROSS_BATCH_NEXT_JOB_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "base/clock.h"

namespace bronzecross {

// An open job and the number of its ready items that the upstream can run.
struct JobCandidate {
  std::string_view m_job;
  std::string_view m_workspace;
  // Wall time at which the job expires.
  Millis m_deadline;
  int64_t m_ready_count = 0;
  // Items of the workspace that the dispatcher holds now.
  int64_t m_workspace_held = 0;
};

// Returns the index of the job to request items from: of the workspace with the
// fewest items held, the job that expires first. Returns std::nullopt if no
// candidate has ready items.
std::optional<size_t> ChooseNextJob(std::span<const JobCandidate> candidates);

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_NEXT_JOB_H_
