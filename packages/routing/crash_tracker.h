// Counts upstream crashes per request fingerprint, to detect poison requests:
// requests that crash the upstreams that run them.

#ifndef BRONZECROSS_ROUTING_CRASH_TRACKER_H_
#define BRONZECROSS_ROUTING_CRASH_TRACKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "base/clock.h"

namespace bronzecross {

// Crashes attributed to one fingerprint by one VM.
struct CrashCount {
  int64_t m_crash_count = 0;
  // Crashes while no other request ran on the upstream.
  int64_t m_alone = 0;
  Millis m_last;  // time of the last crash
};

// Crash counts by fingerprint and VM. Not thread-safe.
struct CrashTracker {
  std::map<std::pair<uint64_t, std::string>, CrashCount> m_counts;
};

// Returns the crashes that all VMs attributed to `fingerprint` within the last
// 10 minutes.
CrashCount TotalCrashes(const CrashTracker& tracker,
                        uint64_t fingerprint,
                        Millis now);

// Returns true if a crash is attributed to the request. It is then run alone on
// its upstream, so that the next crash has only one possible cause.
inline bool IsSuspect(const CrashCount& total) {
  return total.m_crash_count > 0;
}

// Returns true after two crashes, at least one of them while the request ran
// alone. Crashes while other requests ran are never sufficient, since any of
// those may be the cause.
inline bool IsPoisoned(const CrashCount& total) {
  return total.m_crash_count >= 2 && total.m_alone >= 1;
}

void RecordCrash(CrashTracker& tracker,
                 uint64_t fingerprint,
                 const std::string& vm,
                 bool alone,
                 Millis now);

// Removes all crashes of a fingerprint whose request completed, unless it is
// poisoned.
void ClearCrashes(CrashTracker& tracker, uint64_t fingerprint, Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_ROUTING_CRASH_TRACKER_H_
