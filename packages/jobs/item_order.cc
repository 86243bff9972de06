#include "jobs/item_order.h"

#include <algorithm>

namespace bronzecross {
namespace {

// Part of its expected length that an item beyond it is expected to need still.
constexpr double kOverrunPart = 0.25;

// Items with less time to spare don't stand aside: finding another slot takes
// up to a peak of online requests, about two seconds.
constexpr Millis kUrgentSlack{2'200};

// Expectations are rough, so an item that seems to be a little late may not be.
constexpr Millis kHopelessSlack{-2'500};

// Far from the end, a listing may wait: a VM that is lost costs its items that
// much of their work. Near the end, it leaves time for a slow store.
constexpr Millis kRelaxedListing{2'000};
constexpr Millis kPromptListing{600};
constexpr Millis kPromptBefore{4'000};

}  // namespace

Millis RemainingTime(const ItemOutlook& outlook) {
  const double expected = static_cast<double>(outlook.m_expected_events);
  const double left = expected - static_cast<double>(outlook.m_events);
  return Millis(static_cast<int64_t>(std::max(left, expected * kOverrunPart) *
                                     outlook.m_event_ms));
}

Millis Slack(const ItemOutlook& outlook) {
  return outlook.m_until_due - RemainingTime(outlook);
}

bool IsUrgent(const ItemOutlook& outlook) {
  const Millis slack = Slack(outlook);
  return slack < kUrgentSlack && slack > kHopelessSlack;
}

Millis ListingInterval(Millis until_due) {
  return until_due > kPromptBefore ? kRelaxedListing : kPromptListing;
}

bool RunsBefore(Millis a, Millis b) {
  const bool a_in_time = a > kHopelessSlack;
  const bool b_in_time = b > kHopelessSlack;
  return a_in_time != b_in_time ? a_in_time : a < b;
}

}  // namespace bronzecross
