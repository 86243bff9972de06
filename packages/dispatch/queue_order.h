// Decides in which order waiting requests get slots, and which are refused at
// once. It answers the load of a peak that lasts longer than callers wait.

#ifndef BRONZECROSS_DISPATCH_QUEUE_ORDER_H_
#define BRONZECROSS_DISPATCH_QUEUE_ORDER_H_

#include "base/clock.h"

namespace bronzecross {

struct QueuedRequest {
  int m_priority = 0;  // 0 is the highest
  // Started before this instant it is answered within its latency target.
  Millis m_on_time_until;
  // Started after this instant it can't be answered at all.
  Millis m_useful_until;
};

// Whether `a` goes before `b`: by priority; then requests that can still be on
// time, the most urgent first; then late ones, those with most time left first,
// since the oldest of them are the likeliest to be abandoned.
bool GoesBefore(const QueuedRequest& a, const QueuedRequest& b, Millis now);

// What the queue of one service looks like from this VM.
struct QueueState {
  int m_waiting = 0;        // at all VMs
  int m_slots = 0;          // of all usable upstreams
  double m_service_ms = 0;  // mean time that a request holds a slot
};

// Expected wait of a request that joins the queue now.
Millis ExpectedWait(const QueueState& state);

// How long a request may wait for a slot. Where no upstream takes requests it
// waits only as long as a refusal leaves its caller a good second try.
Millis LongestWait(const QueueState& state,
                   Millis time_left,
                   Millis latency_target);

// Whether a request that would wait so long is refused at once: its caller may
// come back, and earns more by a prompt second try than by a late answer.
bool ShouldRefuse(Millis expected_wait, Millis time_left, Millis service_time);

// When a refused caller is best back: as the queue is expected to have drained.
Millis RetryAfter(Millis expected_wait);

}  // namespace bronzecross

#endif  // BRONZECROSS_DISPATCH_QUEUE_ORDER_H_
