#include "promises/admission_check.h"

#include <doctest/doctest.h>

namespace bronzecross {

// Guards against a check that can't fail.
TEST_CASE("an admission too many is found, the exact allowance is not blamed") {
  std::vector<Admission> admissions;
  for (int i = 0; i < 5; ++i) {
    admissions.push_back({"w", Millis(100), Millis(100)});
  }
  CHECK(WorstExcess(admissions, 10, 5) <= 0);
  admissions.push_back({"w", Millis(150), Millis(200)});
  CHECK(WorstExcess(admissions, 10, 5) <= 0);
  admissions.push_back({"w", Millis(150), Millis(200)});
  CHECK(WorstExcess(admissions, 10, 5) == doctest::Approx(1));
}

}  // namespace bronzecross
