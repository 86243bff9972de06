// Serves callers' requests about batch jobs. A call that arrives at a VM that
// doesn't run the job is forwarded to the VM that does. If no such VM is known
// or can be reached, the call is served from the key-value store.

#ifndef BRONZECROSS_GATEWAY_JOB_CALLS_H_
#define BRONZECROSS_GATEWAY_JOB_CALLS_H_

#include "gateway/caller_reply.h"
#include "gateway/incoming_request.h"
#include "gateway/node.h"
#include "platform/batch_calls.h"

namespace bronzecross {

// Returns when the response to a call must be ready.
Millis JobCallDeadline(const IncomingRequest& request);

void LogJobCall(const IncomingRequest& request,
                std::string_view name,
                std::string_view job,
                const CallerReply& reply);

// Reads the results or an item body of a job, or ends the job, as
// `request.m_job_call` asks.
Task<CallerReply> ServeJobCall(Node& node, const IncomingRequest& request);

// Serves a call that another VM has forwarded. Replies with status 421 if this
// VM doesn't run the job.
Task<CallerReply> ServeForwardedJobCall(Node& node, MessageHead head);

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_JOB_CALLS_H_
