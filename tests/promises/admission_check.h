// Checks that a workspace stayed within its rate and burst.

#ifndef BRONZECROSS_TESTS_PROMISES_ADMISSION_CHECK_H_
#define BRONZECROSS_TESTS_PROMISES_ADMISSION_CHECK_H_

#include <cstdint>
#include <vector>

#include "promises/history.h"

namespace bronzecross {

// The largest number by which any window's admissions exceed rate x window +
// burst; 0 or less: none does. Only requests that were sent and answered inside
// a window count for it, as they were surely admitted in it.
double WorstExcess(const std::vector<Admission>& admissions,
                   double rate_per_s,
                   double burst);

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_PROMISES_ADMISSION_CHECK_H_
