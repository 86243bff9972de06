// Percentiles of a sample.

#ifndef BRONZECROSS_TESTS_HARNESS_PERCENTILE_H_
#define BRONZECROSS_TESTS_HARNESS_PERCENTILE_H_

#include <vector>

namespace bronzecross {

// The value below which `percent` of the sample lie; 0 for an empty sample.
double Percentile(std::vector<double> sample, double percent);

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_HARNESS_PERCENTILE_H_
