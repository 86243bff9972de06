// What must always hold, checked under faults drawn from the seed.

#include <cstdio>

#include "measure/measurement.h"
#include "promises/scenario.h"

namespace bronzecross {
namespace {

int MeasurePromises(uint64_t seed) {
  ScenarioOptions options;
  options.m_seed = seed;
  const ScenarioResult result = RunScenario(options);
  std::printf(
      "measure promises violations=%zu faults=%lld requests=%lld "
      "items=%lld seed=%llu\n",
      result.m_violations.size(), static_cast<long long>(result.m_faults),
      static_cast<long long>(result.m_requests),
      static_cast<long long>(result.m_items),
      static_cast<unsigned long long>(seed));
  return 0;
}

const MeasurementRegistration kRegistration("promises", MeasurePromises);

}  // namespace
}  // namespace bronzecross
