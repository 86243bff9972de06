// Decides whether a request may run once more after a run that happened or may
// have happened. Retries, resumed streams and requests that leave an
// unresponsive upstream all ask MayRunAgain(). An attempt that certainly didn't
// run isn't a run, so another attempt after it needs no permission.

#ifndef BRONZECROSS_DISPATCH_REPEAT_RULE_H_
#define BRONZECROSS_DISPATCH_REPEAT_RULE_H_

#include "base/clock.h"
#include "fleet/fleet_config.h"

namespace bronzecross {

// What is known of a request after its last run.
struct RunHistory {
  int m_runs = 0;  // attempts in which it ran or may have run
  // For streams: false if the caller has an event after which no upstream can
  // resume.
  bool m_can_resume = true;
  Millis m_time_left;  // until the deadline of the request
};

// Returns whether requests of the route may run more than once: those of
// idempotent routes, and streams that may be resumed.
bool IsRepeatable(const Route& route);

// Returns whether a request of the route may run again.
bool MayRunAgain(const Route& route, const RunHistory& history);

}  // namespace bronzecross

#endif  // BRONZECROSS_DISPATCH_REPEAT_RULE_H_
