// Checks of what upstreams ran against what callers asked for.

#ifndef BRONZECROSS_TESTS_SOAK_RUN_CHECKS_H_
#define BRONZECROSS_TESTS_SOAK_RUN_CHECKS_H_

#include <span>
#include <string>
#include <vector>

#include "soak/soak_log.h"
#include "standins/platform_replica_standin.h"

namespace bronzecross {

// A run with the upstream that it ran at.
struct SeenRun {
  int m_engine = 0;
  ReplicaRun m_run;
};

// Everything that the checks look at.
struct SoakHistory {
  std::vector<SoakCall> m_calls;
  std::vector<SoakJob> m_jobs;
  std::vector<FaultSpan> m_faults;
  std::vector<KeyChange> m_keys;
  std::vector<SeenRun> m_runs;
};

// Whether a fault that excuses VM `vm` overlaps [from, to]: one of the VM, of
// the store, or a change of the configuration.
bool IsExcused(std::span<const FaultSpan> faults,
               int vm,
               Millis from,
               Millis to);

// One line for each broken promise.
std::vector<std::string> FindBrokenPromises(const SoakHistory& history,
                                            double rate_per_s,
                                            double burst);

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_SOAK_RUN_CHECKS_H_
