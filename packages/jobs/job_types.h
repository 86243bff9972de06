// Items and results of batch jobs.

#ifndef BRONZECROSS_JOBS_JOB_TYPES_H_
#define BRONZECROSS_JOBS_JOB_TYPES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "http1/message_head.h"

namespace bronzecross {

// One request of a batch job. It may run more than once.
struct JobItem {
  std::string m_id;
  std::string m_target;  // path of the POST at an upstream
  std::vector<HeaderField> m_fields;
  std::string m_body;
  int64_t m_tokens = 0;  // of the prompt and the longest output together
};

enum class JobResultState {
  kCompleted,
  kAbandoned,  // it can't be done, or its time is over
};

// What became of an item. A result never changes once it has a position.
struct JobResult {
  std::string m_item;
  JobResultState m_state = JobResultState::kCompleted;
  std::string m_output;  // the data of all events, separated by line feeds
};

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_JOB_TYPES_H_
