// Callers of online requests. Each keeps its connection to a VM until it ends.

#ifndef BRONZECROSS_TESTS_SOAK_ONLINE_CALLERS_H_
#define BRONZECROSS_TESTS_SOAK_ONLINE_CALLERS_H_

#include "soak/soak_world.h"

namespace bronzecross {

// Sends requests until the world stops. Notes each call, and a violation for
// each answer that isn't its request's whole answer.
void RunOnlineCaller(SoakWorld& world, int caller);

// Sends one idempotent request to each VM until it is served. Notes a violation
// for each VM that doesn't serve within `limit`.
void CheckAllServe(SoakWorld& world, Millis limit);

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_SOAK_ONLINE_CALLERS_H_
