// Outages of the key-value service as seen from one VM. Entries that other
// processes renew may expire in a long outage although these processes run, so
// the end of an entry counts only after they had time to register again.

#ifndef BRONZECROSS_KV_STORE_OUTAGE_H_
#define BRONZECROSS_KV_STORE_OUTAGE_H_

#include "base/clock.h"

namespace bronzecross {

struct StoreOutage {
  // First and last failed call of the current series. Zero: the last call
  // succeeded.
  Millis m_first_failure;
  Millis m_last_failure;
  // End of the last long outage. Zero: there was none.
  Millis m_long_outage_end;

  bool IsFailing() const { return m_first_failure != Millis(); }
};

void RecordFailure(StoreOutage& outage, Millis now);
void RecordSuccess(StoreOutage& outage, Millis now);

// Returns when the removal of an entry that became known at `now` counts: at
// once, or later if the entry may have expired in an outage.
Millis RemovalTime(const StoreOutage& outage, Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_KV_STORE_OUTAGE_H_
