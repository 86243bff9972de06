#include "batch/deadline_forecast.h"

namespace bronzecross {

Forecast ForecastJob(const ForecastView& view) {
  if (view.m_remaining <= 0) {
    return {false, Millis(0)};
  }
  if (view.m_window < kForecastWindow && view.m_left > view.m_window) {
    return {false, Millis(-1)};
  }
  if (view.m_recent <= 0) {
    // Without progress the job is late once less time is left than was just
    // spent in vain.
    return {view.m_left < view.m_window, Millis(-1)};
  }
  const Millis expected =
      Millis(view.m_remaining * view.m_window.count() / view.m_recent);
  return {expected > view.m_left, expected};
}

}  // namespace bronzecross
