#include "promises/admission_check.h"

#include <algorithm>

namespace bronzecross {

double WorstExcess(const std::vector<Admission>& admissions,
                   double rate_per_s,
                   double burst) {
  std::vector<Admission> by_end = admissions;
  std::sort(by_end.begin(), by_end.end(),
            [](const Admission& left, const Admission& right) {
              return left.m_received < right.m_received;
            });
  double worst = -burst;
  for (const Admission& first : admissions) {
    // Windows that begin as `first` is sent and end with each answer.
    int64_t inside = 0;
    for (const Admission& last : by_end) {
      if (last.m_sent < first.m_sent) {
        continue;
      }
      ++inside;
      const double window = (last.m_received - first.m_sent).Seconds();
      worst = std::max(
          worst, static_cast<double>(inside) - rate_per_s * window - burst);
    }
  }
  return worst;
}

}  // namespace bronzecross
