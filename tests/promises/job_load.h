// Callers that hand in batch jobs and check that each lands once.

#ifndef BRONZECROSS_TESTS_PROMISES_JOB_LOAD_H_
#define BRONZECROSS_TESTS_PROMISES_JOB_LOAD_H_

#include <atomic>
#include <string>
#include <vector>

#include "harness/cluster.h"
#include "promises/history.h"

namespace bronzecross {

struct SubmittedJob {
  std::string m_id;
  // Prompts are "<prefix> <n>", custom_ids "item-<n>".
  std::string m_prefix;
  int m_items = 0;
  bool m_cancelled = false;
};

struct JobLoad {
  Cluster& m_cluster;
  History& m_history;
  const std::atomic<bool>& m_stopping;
  uint64_t m_seed = 1;
  int m_items = 40;
};

// Hands in jobs, each until it is accepted, with an Idempotency-Key; a resend
// must give the same job. Now and then one is cancelled.
std::vector<SubmittedJob> RunJobCaller(const JobLoad& load);

// After all faults have ended: waits for each job's end and checks that each
// item has exactly one result, and the right one.
void CheckJobs(Cluster& cluster,
               History& history,
               const std::vector<SubmittedJob>& jobs);

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_PROMISES_JOB_LOAD_H_
