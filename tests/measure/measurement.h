// The measurements that scripts/measure knows. Each prints, last, one line
// "measure NAME key=value ..." and returns 0 if it could measure.

#ifndef BRONZECROSS_TESTS_MEASURE_MEASUREMENT_H_
#define BRONZECROSS_TESTS_MEASURE_MEASUREMENT_H_

#include <cstdint>
#include <map>
#include <string>

namespace bronzecross {

using MeasureFunction = int (*)(uint64_t seed);

// All registered measurements by name.
std::map<std::string, MeasureFunction>& Measurements();

// Registers a measurement from a namespace-scope object in its own source file.
struct MeasurementRegistration {
  MeasurementRegistration(const char* name, MeasureFunction function) {
    Measurements()[name] = function;
  }
};

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_MEASURE_MEASUREMENT_H_
