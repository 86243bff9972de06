// Predicts whether a job completes within its completion window.

#ifndef BRONZECROSS_BATCH_DEADLINE_FORECAST_H_
#define BRONZECROSS_BATCH_DEADLINE_FORECAST_H_

#include <cstdint>

#include "base/clock.h"

namespace bronzecross {

struct ForecastInput {
  int64_t m_remaining = 0;
  // Items that ended within the last m_window.
  int64_t m_recently_ended = 0;
  Millis m_window;
  // Time until the job expires.
  Millis m_time_left;
};

struct Forecast {
  bool m_late = false;
  // Expected time until the last item ends; negative if unknown.
  Millis m_expected_remaining;
};

// Extrapolates the recent rate. Makes no forecast while the observed window is
// shorter than kMinForecastWindow, unless the time left is no longer than that
// window.
Forecast ForecastJob(const ForecastInput& input);

inline constexpr Millis kMinForecastWindow{5000};

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_DEADLINE_FORECAST_H_
