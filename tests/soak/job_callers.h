// Callers of batch jobs: they submit, read, end and resend at any VM.

#ifndef BRONZECROSS_TESTS_SOAK_JOB_CALLERS_H_
#define BRONZECROSS_TESTS_SOAK_JOB_CALLERS_H_

#include <vector>

#include "soak/soak_world.h"

namespace bronzecross {

// Submits jobs until the world stops, and returns what became of them.
std::vector<SoakJob> RunJobCaller(SoakWorld& world, int caller);

// Reads an accepted job to its end. Notes a violation if it isn't whole within
// `limit`, or if what was read before has changed.
void CheckJobEnds(SoakWorld& world, const SoakJob& job, Millis limit);

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_SOAK_JOB_CALLERS_H_
