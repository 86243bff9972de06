// Accepts batch jobs. A job runs in the VM group of the VM that stores it, so a
// VM whose group has more batch items per slot than others passes new jobs on
// to a VM of a less loaded group (jobs/job_placement.h).

#ifndef BRONZECROSS_GATEWAY_JOB_SUBMISSION_H_
#define BRONZECROSS_GATEWAY_JOB_SUBMISSION_H_

#include <string>

#include "gateway/caller_reply.h"
#include "gateway/incoming_request.h"
#include "gateway/node.h"

namespace bronzecross {

// Submits a new job. The response has status 202 if the job was accepted.
Task<CallerReply> ServeSubmission(Node& node, IncomingRequest& request);

// Submits a job that another VM has passed on. Replies with status 421 if this
// VM can't run it; the job does not exist then.
Task<CallerReply> ServeForwardedSubmission(Node& node,
                                           MessageHead head,
                                           std::string body);

// Adds the batch load of this VM's group to a message for the VMs of other
// groups. `message` holds the backlogs of this VM.
void AddBatchLoads(const Node& node, GossipMessage& message, Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_JOB_SUBMISSION_H_
