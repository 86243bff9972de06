// Checks of what the upstreams of evacuated and of returning zones ran.

#ifndef BRONZECROSS_TESTS_SOAK_PLACEMENT_CHECKS_H_
#define BRONZECROSS_TESTS_SOAK_PLACEMENT_CHECKS_H_

#include <string>
#include <vector>

#include "soak/run_checks.h"

namespace bronzecross {

// Name of the span between an evacuation and its withdrawal. Its place is the
// operator, its target the index of the zone.
inline constexpr const char* kEvacuateFault = "evacuate";

// Adds a line for each evacuation in which an undisturbed VM sent a request to
// the zone later than the bound.
void CheckEvacuations(const SoakHistory& history,
                      std::vector<std::string>& broken);

// Adds a line for each engine that got more requests from undisturbed VMs in a
// second than a cold engine may get, after its zone returned.
void CheckColdEngines(const SoakHistory& history,
                      std::vector<std::string>& broken);

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_SOAK_PLACEMENT_CHECKS_H_
