// Sequences of faults drawn from a seed. Several run side by side, so that
// faults overlap.

#ifndef BRONZECROSS_TESTS_SOAK_FAULT_STREAM_H_
#define BRONZECROSS_TESTS_SOAK_FAULT_STREAM_H_

#include <cstdint>

#include "soak/soak_world.h"

namespace bronzecross {

// Each returns after its last fault has ended, some seconds after `until` at
// most. Kills, pauses, graceful stops and reloads of VMs, and faults on a VM's
// way to the store:
void RunVmFaults(SoakWorld& world, uint64_t seed, Millis until);
// Refusals, lost replies, dropped history and silent watches of the store, and
// changes of the configuration:
void RunStoreFaults(SoakWorld& world, uint64_t seed, Millis until);
// Refusals, cut streams, silence, resets and planned departures of upstreams:
void RunEngineFaults(SoakWorld& world, uint64_t seed, Millis until);
// Evacuations of one engine's zone, each of which is withdrawn:
void RunEvacuations(SoakWorld& world, uint64_t seed, Millis until);
// Changed and unreadable settings with SIGHUP in series, at any moment of what
// the other sequences do to the VMs. It restores the settings at its end. These
// are planned changes, so they aren't noted as faults, which excuse others:
void RunReloads(SoakWorld& world, uint64_t seed, Millis until);

// Evacuates one engine's zone while no fault is injected, and returns when its
// engines are warm again. The checks of evacuations excuse disturbed VMs; this
// gives them a time without disturbance.
void EvacuateUndisturbed(SoakWorld& world, uint64_t seed);

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_SOAK_FAULT_STREAM_H_
