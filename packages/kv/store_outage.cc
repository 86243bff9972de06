#include "kv/store_outage.h"

#include <algorithm>

namespace bronzecross {
namespace {

// Minimum length of an outage in which entries may expire. Upstreams renew
// theirs about every second, and an entry expires after three missed renewals.
constexpr Millis kLongOutage{1'800};

// A process that is still running registers again within two seconds after the
// service is back, if its entry expired during the outage.
constexpr Millis kReregistrationWindow{2'200};

// Calls can be seconds apart, so the time from a failure to the next success
// says nothing about the length of an outage.
bool IsLong(const StoreOutage& outage) {
  return outage.IsFailing() &&
         outage.m_last_failure - outage.m_first_failure >= kLongOutage;
}

}  // namespace

void RecordFailure(StoreOutage& outage, Millis now) {
  if (!outage.IsFailing()) {
    outage.m_first_failure = now;
  }
  outage.m_last_failure = now;
}

void RecordSuccess(StoreOutage& outage, Millis now) {
  if (IsLong(outage)) {
    outage.m_long_outage_end = now;
  }
  outage.m_first_failure = Millis();
}

Millis RemovalTime(const StoreOutage& outage, Millis now) {
  if (IsLong(outage)) {
    return now + kReregistrationWindow;
  }
  return outage.m_long_outage_end == Millis()
             ? now
             : std::max(now, outage.m_long_outage_end + kReregistrationWindow);
}

}  // namespace bronzecross
