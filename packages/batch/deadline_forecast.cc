#include "batch/deadline_forecast.h"

namespace bronzecross {

Forecast ForecastJob(const ForecastInput& input) {
  if (input.m_remaining <= 0) {
    return {false, Millis(0)};
  }
  if (input.m_window < kMinForecastWindow &&
      input.m_time_left > input.m_window) {
    return {false, Millis(-1)};
  }
  if (input.m_recently_ended <= 0) {
    // Without progress, the job counts as late once the time left is shorter
    // than the observed window.
    return {input.m_time_left < input.m_window, Millis(-1)};
  }
  const Millis remaining = Millis(input.m_remaining * input.m_window.count() /
                                  input.m_recently_ended);
  return {remaining > input.m_time_left, remaining};
}

}  // namespace bronzecross
