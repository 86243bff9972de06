#include "dispatch/upstream_health.h"

#include <algorithm>

namespace bronzecross {
namespace {

// Consecutive failures before an upstream is ejected. A single connection reset
// is common.
constexpr int kFailuresToEject = 2;

// Duration of the first ejection; each further failure doubles it.
constexpr Millis kInitialEjection{250};
constexpr Millis kMaxEjection{2'000};

}  // namespace

void RecordFailure(UpstreamHealth& health, Millis now) {
  ++health.m_failures;
  if (health.m_failures < kFailuresToEject) {
    return;
  }
  const int doublings = std::min(health.m_failures - kFailuresToEject, 4);
  const Millis ejection =
      std::min(kInitialEjection * (int64_t{1} << doublings), kMaxEjection);
  health.m_ejected_until = now + ejection;
}

void RecordSuccess(UpstreamHealth& health) {
  health.m_failures = 0;
  health.m_ejected_until = Millis();
}

bool IsHealthy(const UpstreamHealth& health,
               Millis first_byte_timeout,
               Millis now) {
  if (now < health.m_ejected_until) {
    return false;
  }
  return health.m_awaiting_first_byte.empty() ||
         now - *health.m_awaiting_first_byte.begin() < first_byte_timeout;
}

}  // namespace bronzecross
