// Fingerprints of requests that were running when an upstream died.

#ifndef BRONZECROSS_ROUTING_CRASH_BOOK_H_
#define BRONZECROSS_ROUTING_CRASH_BOOK_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "base/clock.h"

namespace bronzecross {

// Deaths charged to one fingerprint by one VM.
struct CrashCount {
  int64_t m_deaths = 0;
  // Deaths during which no other request ran on the upstream.
  int64_t m_alone = 0;
  Millis m_last;
};

// Deaths by fingerprint and VM. Not thread-safe.
struct CrashBook {
  std::map<std::pair<uint64_t, std::string>, CrashCount> m_counts;
};

// Deaths that all VMs charged to `fingerprint` within the last 10 minutes.
CrashCount TotalCrashes(const CrashBook& book,
                        uint64_t fingerprint,
                        Millis now);

// A request with a charged death is run alone on its upstream, so that the next
// death has one possible cause.
inline bool IsSuspect(const CrashCount& total) {
  return total.m_deaths > 0;
}

// Two deaths, one of them alone. Deaths with company never suffice: the cause
// may be another request.
inline bool IsPoisoned(const CrashCount& total) {
  return total.m_deaths >= 2 && total.m_alone >= 1;
}

void ChargeCrash(CrashBook& book,
                 uint64_t fingerprint,
                 const std::string& vm,
                 bool alone,
                 Millis now);

// Drops all charges of a fingerprint that completed, unless it is poisoned.
void ClearCrashes(CrashBook& book, uint64_t fingerprint, Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_ROUTING_CRASH_BOOK_H_
