// Whether an upstream is cold: it has just started, or its zone returns from an
// evacuation. A cold upstream crashes if it gets more requests than it can
// serve while it warms up.

#ifndef BRONZECROSS_PLACEMENT_COLD_STATE_H_
#define BRONZECROSS_PLACEMENT_COLD_STATE_H_

#include "base/clock.h"

namespace bronzecross {

// The part of a service's configuration that concerns cold upstreams.
struct ColdLimits {
  Millis m_duration;   // how long an upstream is cold; zero: never
  double m_per_s = 0;  // requests that it can serve meanwhile; zero: never cold
  bool operator==(const ColdLimits&) const = default;
};

// What this VM knows of one upstream, in monotonic time.
struct ColdState {
  Millis m_until;  // cold before this instant
  // Entries that arrive before this instant may have been written before the
  // upstream turned cold, so they don't show that it is warm.
  Millis m_distrust_entries_until;
};

// An entry that arrives this long after an event was written after it. Entries
// are written every 1,200 ms, travel for up to 1 s, and a VM collects them for
// up to 600 ms.
inline constexpr Millis kMaxEntryAge{3'000};

bool IsCold(const ColdState& state, const ColdLimits& limits, Millis now);

// Records the remaining cold time that the upstream's entry states; zero: warm.
void RecordColdEntry(ColdState& state, Millis left, Millis now);
// The same of a response, which is up to date.
void RecordColdResponse(ColdState& state, Millis left, Millis now);
// Records that the evacuation of the upstream's zone ended at the instant
// `returned`.
void RecordZoneReturn(ColdState& state,
                      const ColdLimits& limits,
                      Millis returned);

}  // namespace bronzecross

#endif  // BRONZECROSS_PLACEMENT_COLD_STATE_H_
