#include "routing/service_time.h"

#include <algorithm>

namespace bronzecross {
namespace {

// The mean follows a change of the service time within about 10 responses.
constexpr double kSmoothing = 0.1;
constexpr int64_t kMaxWeight = 20;

}  // namespace

void RecordResponse(ServiceTime& time,
                    Millis took,
                    double load,
                    int64_t slots,
                    Millis now) {
  const double waiting = std::max(0.0, load + 1 - static_cast<double>(slots)) /
                         static_cast<double>(slots);
  const double sample =
      std::max(0.5, static_cast<double>(took.count()) / (1 + waiting));
  ++time.m_responses;
  const double weight =
      std::max(kSmoothing, 1.0 / static_cast<double>(time.m_responses));
  time.m_mean_ms += weight * (sample - time.m_mean_ms);
  time.m_last_response = now;
}

ServiceTime Combine(const ServiceTime& one, const ServiceTime& other) {
  const double first =
      static_cast<double>(std::min(one.m_responses, kMaxWeight));
  const double second =
      static_cast<double>(std::min(other.m_responses, kMaxWeight));
  ServiceTime combined;
  combined.m_responses = one.m_responses + other.m_responses;
  combined.m_last_response =
      std::max(one.m_last_response, other.m_last_response);
  if (first + second > 0) {
    combined.m_mean_ms =
        (one.m_mean_ms * first + other.m_mean_ms * second) / (first + second);
  }
  return combined;
}

}  // namespace bronzecross
