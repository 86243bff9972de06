#include "routing/crash_tracker.h"

#include <algorithm>

namespace bronzecross {
namespace {

constexpr Millis kMaxCrashAge{600'000};

}  // namespace

CrashCount TotalCrashes(const CrashTracker& tracker,
                        uint64_t fingerprint,
                        Millis now) {
  CrashCount total;
  for (auto entry = tracker.m_counts.lower_bound({fingerprint, ""});
       entry != tracker.m_counts.end() && entry->first.first == fingerprint;
       ++entry) {
    if (now - entry->second.m_last < kMaxCrashAge) {
      total.m_crash_count += entry->second.m_crash_count;
      total.m_alone += entry->second.m_alone;
      total.m_last = std::max(total.m_last, entry->second.m_last);
    }
  }
  return total;
}

void RecordCrash(CrashTracker& tracker,
                 uint64_t fingerprint,
                 const std::string& vm,
                 bool alone,
                 Millis now) {
  std::erase_if(tracker.m_counts, [now](const auto& entry) {
    return now - entry.second.m_last >= kMaxCrashAge;
  });
  CrashCount& count = tracker.m_counts[{fingerprint, vm}];
  ++count.m_crash_count;
  count.m_alone += alone ? 1 : 0;
  count.m_last = now;
}

void ClearCrashes(CrashTracker& tracker, uint64_t fingerprint, Millis now) {
  if (IsPoisoned(TotalCrashes(tracker, fingerprint, now))) {
    return;
  }
  std::erase_if(tracker.m_counts, [fingerprint](const auto& entry) {
    return entry.first.first == fingerprint;
  });
}

}  // namespace bronzecross
