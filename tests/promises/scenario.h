// One scenario: a workload on six VMs under faults drawn from a seed, then the
// checks.

#ifndef BRONZECROSS_TESTS_PROMISES_SCENARIO_H_
#define BRONZECROSS_TESTS_PROMISES_SCENARIO_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"

namespace bronzecross {

struct ScenarioOptions {
  uint64_t m_seed = 1;
  Millis m_length{15'000};
};

struct ScenarioResult {
  std::vector<std::string> m_violations;
  int64_t m_faults = 0;
  int64_t m_requests = 0;
  int64_t m_items = 0;
};

ScenarioResult RunScenario(const ScenarioOptions& options);

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_PROMISES_SCENARIO_H_
