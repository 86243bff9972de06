// Bounds the size of what is stored of a job. The key-value service limits the
// size of a value, so a larger job could never be kept.

#ifndef BRONZECROSS_JOBS_JOB_SIZE_H_
#define BRONZECROSS_JOBS_JOB_SIZE_H_

#include <cstddef>

#include "base/error.h"
#include "jobs/job_record.h"

namespace bronzecross {

// Returns a size that EncodeJobSpec(spec) never exceeds.
size_t MaxEncodedSize(const JobSpec& spec);

// Fails with kBodyTooLarge if the encoded job is larger than `max_value_bytes`.
Status CheckJobSize(const JobSpec& spec, size_t max_value_bytes);

// Returns whether the store has rejected a write for what it is, so that
// repeating it is useless.
bool IsRejectedForGood(const Error& error);

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_JOB_SIZE_H_
