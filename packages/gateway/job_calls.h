// Callers' calls about batch jobs. A call that arrives at a VM which doesn't
// run the job is passed to the one that does; without it the key-value service
// answers.

#ifndef BRONZECROSS_GATEWAY_JOB_CALLS_H_
#define BRONZECROSS_GATEWAY_JOB_CALLS_H_

#include "gateway/caller_reply.h"
#include "gateway/incoming_request.h"
#include "gateway/node.h"
#include "platform/batch_calls.h"

namespace bronzecross {

Task<CallerReply> ServeSubmission(Node& node, IncomingRequest& request);

Task<CallerReply> ServeJobCall(Node& node,
                               const IncomingRequest& request,
                               platform::JobCall call);

// Answers a call that another VM passed on. A status of 421 tells that this VM
// doesn't run the job.
Task<CallerReply> AnswerForwardedJobCall(Node& node, MessageHead head);

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_JOB_CALLS_H_
