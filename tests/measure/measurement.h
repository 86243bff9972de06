// The measurements that scripts/measure knows. Each prints, last, one line
// "measure NAME key=value ..." and returns 0 if it could measure.

#ifndef BRONZECROSS_TESTS_MEASURE_MEASUREMENT_H_
#define BRONZECROSS_TESTS_MEASURE_MEASUREMENT_H_

#include <cstdint>

namespace bronzecross {

int MeasureOverhead(uint64_t seed);

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_MEASURE_MEASUREMENT_H_
