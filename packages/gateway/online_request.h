// Serves one online request: waits for a slot, sends the request to an upstream
// and relays the response. Retries at other upstreams only if the request has
// not run or its route allows it to run more than once.

#ifndef BRONZECROSS_GATEWAY_ONLINE_REQUEST_H_
#define BRONZECROSS_GATEWAY_ONLINE_REQUEST_H_

#include <set>
#include <string>

#include "dispatch/event_splitter.h"
#include "dispatch/upstream_call.h"
#include "gateway/caller_reply.h"
#include "gateway/crash_check.h"
#include "gateway/incoming_request.h"
#include "gateway/node.h"
#include "prompt_cache/prompt_send.h"

namespace bronzecross {

enum class ServeResult {
  kResponded,  // a complete response was queued for the caller
  kAbandoned,  // the caller has left, or its response had to be cut off
};

class OnlineRequest {
 public:
  // All arguments must outlive this object.
  OnlineRequest(Node& node, HttpConnection& caller, IncomingRequest& request);

  Task<ServeResult> Run();

 private:
  // The result of an attempt at one upstream.
  enum class AttemptResult {
    kDelivered,   // the complete response was queued for the caller
    kTryAnother,  // another upstream may be tried
    kFailed,      // no further attempt is allowed
    kCancelled,   // the caller has left, or the VM stops
  };

  Task<AttemptResult> RunAttempt(UpstreamPtr upstream);
  // Reads the complete response before relaying it to the caller.
  Task<AttemptResult> RelayBuffered(UpstreamCall& call,
                                    const UpstreamPtr& upstream);
  // Relays the response event by event.
  Task<AttemptResult> RelayStream(UpstreamCall& call,
                                  const UpstreamPtr& upstream);
  // Queues the head of a streamed response unless it was queued before.
  bool QueueStreamHead(const MessageHead& upstream_head);
  // Records the request as a possible poison request if the upstream broke off
  // its response.
  void RecordIfBroken(CallState state, const UpstreamPtr& upstream);
  // Records a response that has ended without a sign of a fault. `is_unframed`:
  // only the end of its connection marked its end.
  void RecordCompletion(bool is_unframed,
                        int status,
                        const UpstreamPtr& upstream);
  // Returns what is recorded of the current attempt at its end.
  EndedRun MakeEndedRun() const;
  // Whether the request may not be run, or not be run again.
  bool IsBlocked() const;
  ServeResult RejectBlocked();
  // Whether a part of the prompt is known to crash upstreams.
  bool HasCrashingPart() const;
  ServeResult RejectCrashingPart();
  // Returns whether the route, the number of runs so far and the time left
  // allow another attempt.
  bool MayRunAgain() const;
  int64_t Tokens() const { return platform::NeededTokens(m_request.m_fields); }
  SlotRequest MakeSlotRequest(const SlotQueue& queue) const;
  // Queues an error response and returns kResponded. If a streamed response has
  // begun, returns kAbandoned, and the response is cut off.
  ServeResult Reject(ResultCode code,
                     std::string_view message,
                     Millis retry_after);
  // Ends a request that was cancelled: rejects it unless the caller has left.
  ServeResult EndCancelled();
  // Rejects the request with kOverloaded.
  ServeResult RejectWithoutSlot(SlotQueue& queue);
  void LogAttempt(const Upstream& upstream, CallState state, int status) const;
  void LogEnd(std::string_view outcome, int status) const;

  Node& m_node;
  HttpConnection& m_caller;
  IncomingRequest& m_request;
  CallerCancellation m_cancellation;
  std::string_view m_service;
  uint32_t m_fingerprint = 0;
  Millis m_deadline;
  // The parts of the prompt, empty unless prompt affinity is on, and the memory
  // of the service's engines.
  PromptChain m_prompt;
  int64_t m_memory_tokens = 0;
  // Ids of the upstreams that were tried already.
  std::set<std::string, std::less<>> m_excluded;
  int m_rejections = 0;  // attempts that reported that the request didn't run
  int m_runs = 0;        // attempts in which it ran or may have run
  // For streams: whether the head was queued, and the id of the last event that
  // was relayed, or -1.
  bool m_stream_started = false;
  // Content-Type of the response whose head was queued. One of another type
  // doesn't continue the stream.
  std::string m_stream_type;
  int64_t m_last_event_id = -1;
  Millis m_attempt_started;  // BootNow()
  int m_attempt_events = 0;  // received in the current attempt
  // Whether the request is blocked and this is the run that tries it.
  bool m_is_trial = false;
  // Whether another upstream can continue the stream: no event was relayed yet,
  // or the last one has an id.
  bool m_can_resume = true;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_ONLINE_REQUEST_H_
