#include "harness/window_check.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace bronzecross {

double CallerNowMs() {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

int64_t WorstExcess(std::vector<SeenAdmission> admitted,
                    double rate_per_s,
                    double burst) {
  std::sort(admitted.begin(), admitted.end(),
            [](const SeenAdmission& a, const SeenAdmission& b) {
              return a.m_answered_ms < b.m_answered_ms;
            });
  double worst = 0;
  for (const SeenAdmission& first : admitted) {
    int64_t count = 0;
    for (const SeenAdmission& last : admitted) {
      if (last.m_sent_ms < first.m_sent_ms) {
        continue;
      }
      ++count;
      const double window = last.m_answered_ms - first.m_sent_ms;
      worst = std::max(worst, static_cast<double>(count) -
                                  (rate_per_s * window / 1000.0 + burst));
    }
  }
  return static_cast<int64_t>(std::ceil(worst - 1e-9));
}

}  // namespace bronzecross
