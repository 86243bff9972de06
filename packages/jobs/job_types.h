// Items and results of batch jobs.

#ifndef BRONZECROSS_JOBS_JOB_TYPES_H_
#define BRONZECROSS_JOBS_JOB_TYPES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "http1/message_head.h"

namespace bronzecross {

// One request of a batch job. It can run at upstreams more than once.
struct JobItem {
  std::string m_id;
  std::string m_target;  // path of the POST request to the upstream
  std::vector<HeaderField> m_fields;
  std::string m_body;
  int64_t m_tokens = 0;  // prompt tokens plus the maximum of output tokens
};

enum class JobResultState {
  kCompleted,
  kAbandoned,  // the item cannot be processed, or its retention time is over
};

// The final result of an item. It is immutable once it has a position in the
// result list of its job.
struct JobResult {
  std::string m_item;
  JobResultState m_state = JobResultState::kCompleted;
  std::string m_output;  // data of all stream events, joined by line feeds
};

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_JOB_TYPES_H_
