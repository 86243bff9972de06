// One soak: real gateways among stand-ins, callers, faults drawn from a seed,
// and the checks afterwards.

#ifndef BRONZECROSS_TESTS_SOAK_SOAK_H_
#define BRONZECROSS_TESTS_SOAK_SOAK_H_

#include <string>
#include <vector>

#include "soak/soak_world.h"

namespace bronzecross {

struct SoakReport {
  std::vector<std::string> m_violations;
  size_t m_calls = 0;
  size_t m_answered = 0;  // with 200
  size_t m_jobs = 0;      // accepted
  size_t m_faults = 0;
};

// Takes the length of the faults and up to a minute more.
SoakReport RunSoak(const SoakOptions& options);

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_SOAK_SOAK_H_
