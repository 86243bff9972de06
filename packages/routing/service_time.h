// The time that an upstream takes for one request, learned from its answers.

#ifndef BRONZECROSS_ROUTING_SERVICE_TIME_H_
#define BRONZECROSS_ROUTING_SERVICE_TIME_H_

#include <cstdint>

#include "base/clock.h"

namespace bronzecross {

struct ServiceTime {
  double m_mean_ms = 0;
  // Answers that the mean rests on; zero: nothing learned.
  int64_t m_answers = 0;
  Millis m_last_answer;
};

// Takes an answer after `took` to a request that found `load` requests on
// `slots` slots. Time spent waiting for a slot is taken out.
void NoteAnswer(ServiceTime& time,
                Millis took,
                double load,
                int64_t slots,
                Millis now);

// The mean of two learned times, weighted by their answers up to a limit.
ServiceTime Combine(const ServiceTime& one, const ServiceTime& other);

}  // namespace bronzecross

#endif  // BRONZECROSS_ROUTING_SERVICE_TIME_H_
