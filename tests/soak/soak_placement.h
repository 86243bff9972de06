// Availability zones and cold times of the upstreams of a soak.

#ifndef BRONZECROSS_TESTS_SOAK_SOAK_PLACEMENT_H_
#define BRONZECROSS_TESTS_SOAK_SOAK_PLACEMENT_H_

#include <string>
#include <vector>

#include "base/clock.h"

namespace bronzecross {

// From this time after an evacuation is written, its zone gets no requests.
inline constexpr Millis kSoakEvacuateBound{5'000};

// Cold time and cold rate of the engine service.
inline constexpr double kSoakColdSeconds = 3;
inline constexpr double kSoakColdPerSecond = 6;
// Requests that a cold engine may get in any second: kSoakColdPerSecond with
// the default settings of a gateway.
inline constexpr size_t kSoakColdBound = 14;

// The zones, which VMs and engines take in turn by index.
inline std::vector<std::string> SoakZones() {
  return {"zone-a", "zone-b", "zone-c"};
}
inline int ZoneIndexOf(int engine) {
  return engine % static_cast<int>(SoakZones().size());
}

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_SOAK_SOAK_PLACEMENT_H_
