// Random numbers. Functions that make random decisions take the generator as a
// parameter, so that tests and measurements can be repeated with a seed.

#ifndef BRONZECROSS_BASE_RANDOM_H_
#define BRONZECROSS_BASE_RANDOM_H_

#include <cstdint>
#include <random>
#include <string>

namespace bronzecross {

using Random = std::mt19937_64;

// Returns the generator of the calling thread, seeded from the system.
Random& ThreadRandom();

// Returns a uniformly distributed number in [0, bound). `bound` must be
// positive.
uint64_t RandomBelow(Random& random, uint64_t bound);

// Returns a uniformly distributed number in [0, 1).
double RandomUnit(Random& random);

// Returns 32 random hexadecimal digits from the calling thread's generator.
std::string RandomId();

}  // namespace bronzecross

#endif  // BRONZECROSS_BASE_RANDOM_H_
