// Sends requests at the times of a Poisson process, each on its own thread of a
// pool, so that a slow answer does not delay the next arrival.

#ifndef BRONZECROSS_TESTS_MEASURE_POISSON_LOAD_H_
#define BRONZECROSS_TESTS_MEASURE_POISSON_LOAD_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "base/clock.h"

namespace bronzecross {

// Arrival times in ms from the start, for `duration` at `rate_per_s`.
std::vector<double> PoissonArrivals(double rate_per_s,
                                    Millis duration,
                                    uint64_t seed);

// Calls `send(i)` at the time of arrival i, on one of `threads` threads, and
// waits for all. Returns the largest delay of a start in ms, which shows
// whether the machine kept up.
double RunArrivals(const std::vector<double>& arrivals,
                   int threads,
                   const std::function<void(size_t)>& send);

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_MEASURE_POISSON_LOAD_H_
