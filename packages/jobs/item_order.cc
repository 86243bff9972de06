#include "jobs/item_order.h"

#include <algorithm>

namespace bronzecross {
namespace {

// Minimum for the remaining part of an item, as a fraction of its expected
// length.
constexpr double kOverrunFraction = 0.25;

// Items with less slack are not preempted: getting another slot can take as
// long as a peak of online requests, about two seconds.
constexpr Millis kUrgentSlack{2'200};

// Items with more slack than this can still be in time. It is negative because
// the estimates are rough: an item that is expected slightly late may be in
// time.
constexpr Millis kMinViableSlack{-2'500};

// Long before the due time, listings can be rare. The interval bounds the work
// that is repeated if the VM is lost. Near the due time, the short interval
// leaves time for a slow store.
constexpr Millis kLongListingInterval{3'000};
constexpr Millis kShortListingInterval{600};
constexpr Millis kShortIntervalBeforeDue{4'000};

}  // namespace

Millis RemainingTime(const ItemEstimate& estimate) {
  const double expected = static_cast<double>(estimate.m_expected_events);
  const double left = expected - static_cast<double>(estimate.m_events);
  return Millis(static_cast<int64_t>(
      std::max(left, expected * kOverrunFraction) * estimate.m_event_ms));
}

Millis Slack(const ItemEstimate& estimate) {
  return estimate.m_until_due - RemainingTime(estimate);
}

bool IsUrgent(const ItemEstimate& estimate) {
  const Millis slack = Slack(estimate);
  return slack < kUrgentSlack && slack > kMinViableSlack;
}

Millis ListingInterval(Millis until_due) {
  return until_due > kShortIntervalBeforeDue ? kLongListingInterval
                                             : kShortListingInterval;
}

bool RunsBefore(Millis a, Millis b) {
  const bool a_in_time = a > kMinViableSlack;
  const bool b_in_time = b > kMinViableSlack;
  return a_in_time != b_in_time ? a_in_time : a < b;
}

}  // namespace bronzecross
