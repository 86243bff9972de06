// Random numbers. Decisions take the generator as a parameter, so that tests
// and measurements repeat with a seed.

#ifndef BRONZECROSS_BASE_RANDOM_H_
#define BRONZECROSS_BASE_RANDOM_H_

#include <cstdint>
#include <random>
#include <string>

namespace bronzecross {

using Random = std::mt19937_64;

// A generator of the calling thread, seeded from the system.
Random& ThreadRandom();

// Uniform in [0, bound). `bound` must be positive.
uint64_t RandomBelow(Random& random, uint64_t bound);

// Uniform in [0, 1).
double RandomUnit(Random& random);

// 32 hexadecimal digits from the calling thread's generator.
std::string RandomId();

}  // namespace bronzecross

#endif  // BRONZECROSS_BASE_RANDOM_H_
