#include "dispatch/upstream_health.h"

#include <algorithm>

namespace bronzecross {
namespace {

// Failures in a row before an upstream is left out. A single reset is common.
constexpr int kFailuresToClose = 2;

// First pause without requests; each further failure doubles it.
constexpr Millis kFirstPause{250};
constexpr Millis kLongestPause{2'000};

}  // namespace

void NoteFailure(UpstreamHealth& health, Millis now) {
  ++health.m_failures;
  if (health.m_failures < kFailuresToClose) {
    return;
  }
  const int doublings = std::min(health.m_failures - kFailuresToClose, 4);
  const Millis pause =
      std::min(kFirstPause * (int64_t{1} << doublings), kLongestPause);
  health.m_closed_until = now + pause;
}

void NoteSuccess(UpstreamHealth& health) {
  health.m_failures = 0;
  health.m_closed_until = Millis();
}

bool IsHealthy(const UpstreamHealth& health, Millis patience, Millis now) {
  if (now < health.m_closed_until) {
    return false;
  }
  return health.m_silent.empty() || now - *health.m_silent.begin() < patience;
}

}  // namespace bronzecross
