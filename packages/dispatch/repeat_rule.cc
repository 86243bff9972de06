#include "dispatch/repeat_rule.h"

namespace bronzecross {
namespace {

// No further attempt is made if less than this time is left.
constexpr Millis kMinAttemptTime{30};

}  // namespace

bool IsRepeatable(const Route& route) {
  switch (route.m_kind) {
    case RouteKind::kIdempotent:
      return true;
    case RouteKind::kStreaming:
      return route.m_resumable;
    case RouteKind::kNonIdempotent:
    case RouteKind::kBatch:
      break;
  }
  return false;
}

bool MayRunAgain(const Route& route, const RunHistory& history) {
  return IsRepeatable(route) && history.m_can_resume &&
         history.m_runs < route.m_max_attempts &&
         history.m_time_left > kMinAttemptTime;
}

}  // namespace bronzecross
