// Parser of the load metrics that a model engine serves in the Prometheus text
// format.

#ifndef BRONZECROSS_UPSTREAMS_LOAD_REPORT_H_
#define BRONZECROSS_UPSTREAMS_LOAD_REPORT_H_

#include <cstdint>
#include <string_view>

#include "base/error.h"

namespace bronzecross {

// Numbers of requests that the engine runs and queues.
struct LoadReport {
  int64_t m_running = 0;
  int64_t m_waiting = 0;
};

// Reads vllm:num_requests_running and vllm:num_requests_waiting, summed over
// their labels. Fails with kMalformedBody if either is missing or not a number.
Result<LoadReport> ParseLoadReport(std::string_view text);

}  // namespace bronzecross

#endif  // BRONZECROSS_UPSTREAMS_LOAD_REPORT_H_
