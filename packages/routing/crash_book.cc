#include "routing/crash_book.h"

#include <algorithm>

namespace bronzecross {
namespace {

constexpr Millis kCrashLife{600'000};

}  // namespace

CrashCount TotalCrashes(const CrashBook& book,
                        uint64_t fingerprint,
                        Millis now) {
  CrashCount total;
  for (auto entry = book.m_counts.lower_bound({fingerprint, ""});
       entry != book.m_counts.end() && entry->first.first == fingerprint;
       ++entry) {
    if (now - entry->second.m_last < kCrashLife) {
      total.m_deaths += entry->second.m_deaths;
      total.m_alone += entry->second.m_alone;
      total.m_last = std::max(total.m_last, entry->second.m_last);
    }
  }
  return total;
}

void ChargeCrash(CrashBook& book,
                 uint64_t fingerprint,
                 const std::string& vm,
                 bool alone,
                 Millis now) {
  std::erase_if(book.m_counts, [now](const auto& entry) {
    return now - entry.second.m_last >= kCrashLife;
  });
  CrashCount& count = book.m_counts[{fingerprint, vm}];
  ++count.m_deaths;
  count.m_alone += alone ? 1 : 0;
  count.m_last = now;
}

void ClearCrashes(CrashBook& book, uint64_t fingerprint, Millis now) {
  if (IsPoisoned(TotalCrashes(book, fingerprint, now))) {
    return;
  }
  std::erase_if(book.m_counts, [fingerprint](const auto& entry) {
    return entry.first.first == fingerprint;
  });
}

}  // namespace bronzecross
