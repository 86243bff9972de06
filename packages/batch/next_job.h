// The decision from which job a dispatcher takes items next.

#ifndef BRONZECROSS_BATCH_NEXT_JOB_H_
#define BRONZECROSS_BATCH_NEXT_JOB_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "base/clock.h"

namespace bronzecross {

// A job with open items that the upstream could run.
struct JobOffer {
  std::string_view m_job;
  std::string_view m_workspace;
  // Wall time at which the job expires.
  Millis m_deadline;
  int64_t m_open = 0;
  // Items of the workspace that the dispatcher holds now.
  int64_t m_workspace_held = 0;
};

// The index of the job to take from: of the workspace with the fewest items
// held, the job that expires first. Nothing if no offer has open items.
std::optional<size_t> ChooseNextJob(std::span<const JobOffer> offers);

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_NEXT_JOB_H_
