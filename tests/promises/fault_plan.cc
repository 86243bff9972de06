#include "promises/fault_plan.h"

#include <algorithm>
#include <array>

#include "base/random.h"

namespace bronzecross {
namespace {

constexpr std::array<std::string_view, 13> kNames = {
    "kill-vm",          "pause-vm",        "restart-vm",
    "part-vm",          "part-vm-one-way", "part-vm-from-store",
    "store-outage",     "store-slow",      "store-loses-answers",
    "crash-engine",     "crash-request",   "withdraw-key",
    "racing-publishers"};

Millis Draw(Random& random, int64_t low, int64_t high) {
  return Millis(low + static_cast<int64_t>(RandomBelow(
                          random, static_cast<uint64_t>(high - low))));
}

}  // namespace

std::string_view FaultName(FaultKind kind) {
  return kNames[static_cast<size_t>(kind)];
}

std::vector<Fault> DrawFaults(uint64_t seed,
                              Millis length,
                              int vms,
                              int engines) {
  Random random(seed);
  std::vector<Fault> faults;
  constexpr std::array kVmKinds = {
      FaultKind::kKillVm,       FaultKind::kPauseVm,
      FaultKind::kRestartVm,    FaultKind::kPartVm,
      FaultKind::kPartVmOneWay, FaultKind::kPartVmFromStore};
  constexpr std::array kOtherKinds = {
      FaultKind::kStoreOutage,       FaultKind::kStoreSlow,
      FaultKind::kStoreLosesAnswers, FaultKind::kCrashEngine,
      FaultKind::kCrashRequest,      FaultKind::kWithdrawKey,
      FaultKind::kRacingPublishers};
  // Two sequences side by side: one of VM faults, one of the others, so that
  // they come together.
  for (Millis at = Draw(random, 300, 1500); at < length;) {
    const FaultKind kind = kVmKinds[RandomBelow(random, kVmKinds.size())];
    const Millis duration = Draw(random, 500, 8000);
    faults.push_back(
        {kind, at, duration,
         static_cast<int>(RandomBelow(random, static_cast<uint64_t>(vms)))});
    at = at + duration + Draw(random, 500, 2500);
  }
  for (Millis at = Draw(random, 300, 1500); at < length;) {
    const FaultKind kind = kOtherKinds[RandomBelow(random, kOtherKinds.size())];
    const Millis duration = Draw(random, 300, 5000);
    faults.push_back({kind, at, duration,
                      static_cast<int>(RandomBelow(
                          random, static_cast<uint64_t>(engines)))});
    at = at + duration + Draw(random, 200, 1500);
  }
  std::stable_sort(faults.begin(), faults.end(),
                   [](const Fault& left, const Fault& right) {
                     return left.m_at < right.m_at;
                   });
  return faults;
}

}  // namespace bronzecross
