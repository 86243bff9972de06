#include "base/random.h"

#include "base/hash.h"

namespace bronzecross {

Random& ThreadRandom() {
  thread_local Random random = [] {
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return Random(seed);
  }();
  return random;
}

uint64_t RandomBelow(Random& random, uint64_t bound) {
  return std::uniform_int_distribution<uint64_t>(0, bound - 1)(random);
}

double RandomUnit(Random& random) {
  return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

std::string RandomId() {
  Random& random = ThreadRandom();
  return Hex64(random()) + Hex64(random());
}

}  // namespace bronzecross
