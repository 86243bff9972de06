// The forecast whether a job completes within its window.

#ifndef BRONZECROSS_BATCH_DEADLINE_FORECAST_H_
#define BRONZECROSS_BATCH_DEADLINE_FORECAST_H_

#include <cstdint>

#include "base/clock.h"

namespace bronzecross {

struct ForecastView {
  int64_t m_remaining = 0;
  // Items that ended within the last `m_window`.
  int64_t m_recent = 0;
  Millis m_window;
  // Time until the job expires.
  Millis m_left;
};

struct Forecast {
  bool m_late = false;
  // Expected time until the last item ends; negative: unknown.
  Millis m_expected;
};

// Expects the recent rate to go on. No forecast is made from a window that is
// shorter than kForecastWindow, unless the whole time left is shorter.
Forecast ForecastJob(const ForecastView& view);

inline constexpr Millis kForecastWindow{5000};

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_DEADLINE_FORECAST_H_
