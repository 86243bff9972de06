// Draws a sequence of faults from a seed.

#ifndef BRONZECROSS_TESTS_PROMISES_FAULT_PLAN_H_
#define BRONZECROSS_TESTS_PROMISES_FAULT_PLAN_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace bronzecross {

enum class FaultKind {
  kKillVm,
  kPauseVm,
  kRestartVm,  // graceful
  kPartVm,     // from all other VMs, both ways
  kPartVmOneWay,
  kPartVmFromStore,
  kStoreOutage,
  kStoreSlow,
  kStoreLosesAnswers,
  kCrashEngine,
  kCrashRequest,
  kWithdrawKey,
  kRacingPublishers,
};

std::string_view FaultName(FaultKind kind);

struct Fault {
  FaultKind m_kind = FaultKind::kKillVm;
  // From the start of the scenario.
  Millis m_at;
  Millis m_duration;
  // Which VM or engine.
  int m_target = 0;
};

// Faults over `length`, sorted by time. At most one VM at a time is killed,
// paused or parted, so that the majority that the promises need stays.
std::vector<Fault> DrawFaults(uint64_t seed,
                              Millis length,
                              int vms,
                              int engines);

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_PROMISES_FAULT_PLAN_H_
