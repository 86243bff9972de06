#include "routing/service_time.h"

#include <algorithm>

namespace bronzecross {
namespace {

// The mean follows a change of speed within about 10 answers.
constexpr double kSmoothing = 0.1;
constexpr int64_t kMaxWeight = 20;

}  // namespace

void NoteAnswer(ServiceTime& time,
                Millis took,
                double load,
                int64_t slots,
                Millis now) {
  const double waiting = std::max(0.0, load + 1 - static_cast<double>(slots)) /
                         static_cast<double>(slots);
  const double sample =
      std::max(0.5, static_cast<double>(took.count()) / (1 + waiting));
  ++time.m_answers;
  const double weight =
      std::max(kSmoothing, 1.0 / static_cast<double>(time.m_answers));
  time.m_mean_ms += weight * (sample - time.m_mean_ms);
  time.m_last_answer = now;
}

ServiceTime Combine(const ServiceTime& one, const ServiceTime& other) {
  const double first = static_cast<double>(std::min(one.m_answers, kMaxWeight));
  const double second =
      static_cast<double>(std::min(other.m_answers, kMaxWeight));
  ServiceTime combined;
  combined.m_answers = one.m_answers + other.m_answers;
  combined.m_last_answer = std::max(one.m_last_answer, other.m_last_answer);
  if (first + second > 0) {
    combined.m_mean_ms =
        (one.m_mean_ms * first + other.m_mean_ms * second) / (first + second);
  }
  return combined;
}

}  // namespace bronzecross
