// Decides which VM runs a new batch job. Each VM group of a large fleet runs
// its own jobs at its own share of the upstreams, and jobs arrive unevenly: the
// items of one group wait while slots of another one stay free.

#ifndef BRONZECROSS_JOBS_JOB_PLACEMENT_H_
#define BRONZECROSS_JOBS_JOB_PLACEMENT_H_

#include <cstddef>
#include <optional>
#include <span>

namespace bronzecross {

// Returns the unfinished batch items of a VM group per slot of the upstreams
// that it prefers.
double ComputeBatchLoad(int unfinished_items, int slots);

// A VM of another group that could run a job.
struct JobHostCandidate {
  double m_batch_load = 0;  // of its group, as last reported
  bool m_same_zone = false;
};

// Returns the candidate that should run a new job; std::nullopt if it should
// stay in this VM's group, whose load is `own_load`. Moving a job costs a
// message with all its items, more so to another zone, and reported loads are
// about a second old, so a job is moved only for a clear gain.
std::optional<size_t> ChooseJobHost(
    double own_load,
    std::span<const JobHostCandidate> candidates);

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_JOB_PLACEMENT_H_
