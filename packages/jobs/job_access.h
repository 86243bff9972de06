// Decides who may use a batch job. A job belongs to the workspace whose key its
// submission carried, whatever the route on which it arrived. It never belongs
// to a route, so changes of routes don't affect who may use it.

#ifndef BRONZECROSS_JOBS_JOB_ACCESS_H_
#define BRONZECROSS_JOBS_JOB_ACCESS_H_

#include <string_view>

#include "base/error.h"

namespace bronzecross {

// Returns whether the workspace `caller` may use a job of the workspace
// `owner`. An empty `caller` is one without a key. A job with an empty `owner`
// was accepted without a key, so anyone who knows its id may use it. Fails with
// kMissingKey if the job can only be used with a key, and with kNotFound if the
// key is that of another workspace.
Status CheckJobAccess(std::string_view owner, std::string_view caller);

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_JOB_ACCESS_H_
