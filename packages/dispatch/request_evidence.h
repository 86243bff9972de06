// What the runs of a request at all VMs say about whether it crashes the
// upstreams that run it.
//
// A poison request never gets a complete response, so each one exonerates it:
// crashes count only if they ended a run that began after the last complete
// response. Between the starts of two runs of a common request another run
// completes, so crashes of other causes rarely add up. Those that do lead to a
// block that ends with a single run on trial.

#ifndef BRONZECROSS_DISPATCH_REQUEST_EVIDENCE_H_
#define BRONZECROSS_DISPATCH_REQUEST_EVIDENCE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.h"

namespace bronzecross {

// A crash or another end of an upstream's connections that broke responses to
// the request. However many runs it ended, it counts once: all of them began
// before it.
struct RequestCrash {
  uint32_t m_upstream_run = 0;  // EngineRunKey of the upstream
  Millis m_at;
  Millis m_started;         // when the last of the runs began that it ended
  bool m_is_trial = false;  // one of them was a trial
  bool m_is_own = false;    // seen by this VM itself
  // Reported by the VM that saw it, or own. Times that others pass on drift.
  bool m_is_first_hand = false;
};

struct RequestEvidence {
  // In order of arrival; at most kMaxCrashes.
  std::vector<RequestCrash> m_crashes;
  // When the last complete response ended; zero: none is known.
  Millis m_completed;
};

inline constexpr size_t kMaxCrashes = 8;

// Number of crashes from which on a request is blocked.
inline constexpr int kMaxRequestCrashes = 3;

// Adds a crash, or merges it with what is known of the same one.
void AddCrash(RequestEvidence& evidence, const RequestCrash& crash);
// Adds a complete response that ended at `at`. Removes the crashes that it
// exonerates the request of.
void AddCompletion(RequestEvidence& evidence, Millis at);

bool IsBlocked(const RequestEvidence& evidence);
// Number of trials that ended in a crash.
int CountFailedTrials(const RequestEvidence& evidence);

// Returns the number of the current time window for a trial of a blocked
// request, or std::nullopt while none is allowed. The windows are apart, so
// that VMs whose clocks differ a little never use two at the same time, and a
// trial's crash is known before the next one.
std::optional<int64_t> FindTrialWindow(const RequestEvidence& evidence,
                                       Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_DISPATCH_REQUEST_EVIDENCE_H_
