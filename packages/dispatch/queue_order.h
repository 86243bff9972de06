// Orders the requests that wait for a slot, and decides which are rejected at
// once. This matters when a load peak lasts longer than callers wait.

#ifndef BRONZECROSS_DISPATCH_QUEUE_ORDER_H_
#define BRONZECROSS_DISPATCH_QUEUE_ORDER_H_

#include "base/clock.h"

namespace bronzecross {

struct QueuedRequest {
  int m_priority = 0;  // 0 is the highest
  // Latest start with which the response meets the latency target.
  Millis m_latest_on_time_start;
  // Latest start with which the response can arrive before the deadline.
  Millis m_latest_start;
};

// Returns true if `a` is scheduled before `b`. The order is by priority; then
// requests that can still meet their latency target, earliest deadline first;
// then late ones, those with the most time left first, since the oldest of them
// are the most likely to be abandoned by their callers.
bool GoesBefore(const QueuedRequest& a, const QueuedRequest& b, Millis now);

// State of the queue of one service, as known to this VM.
struct QueueState {
  int m_waiting = 0;        // requests, over all VMs
  int m_slots = 0;          // of all usable upstreams
  double m_service_ms = 0;  // mean time that a request holds a slot
};

// Returns the expected wait of a request that is queued now.
Millis ExpectedWait(const QueueState& state);

// Returns the maximum time that a request may wait for a slot. If no upstream
// accepts requests, this is a fraction of the latency target, so that a caller
// that is rejected has enough time left for a retry.
Millis MaxQueueWait(const QueueState& state,
                    Millis time_left,
                    Millis latency_target);

// Returns true if a request with this expected wait should be rejected at once.
// Its caller may retry, and a prompt retry is better than a late response.
bool ShouldReject(Millis expected_wait, Millis time_left, Millis service_time);

// Returns the retry-after time of a rejected caller: when the queue is expected
// to have drained, within bounds.
Millis RetryAfter(Millis expected_wait);

}  // namespace bronzecross

#endif  // BRONZECROSS_DISPATCH_QUEUE_ORDER_H_
