// Checks admissions seen at callers against a rate and burst over all windows.

#ifndef BRONZECROSS_TESTS_HARNESS_WINDOW_CHECK_H_
#define BRONZECROSS_TESTS_HARNESS_WINDOW_CHECK_H_

#include <cstdint>
#include <vector>

namespace bronzecross {

// An admitted request, by the caller's clock.
struct SeenAdmission {
  double m_sent_ms = 0;
  double m_answered_ms = 0;
};

// The most admissions above rate x window + burst in any window, rounded up; 0
// or less: none. An admission counts to a window only if it was sent and
// answered within it, so that the count is certain.
int64_t WorstExcess(std::vector<SeenAdmission> admitted,
                    double rate_per_s,
                    double burst);

// The caller's clock.
double CallerNowMs();

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_HARNESS_WINDOW_CHECK_H_
