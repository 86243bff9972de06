// Serves one online request: waits for a slot, sends it to an upstream and
// passes the answer on. Follows the rules on what may run more than once.

#ifndef BRONZECROSS_GATEWAY_ONLINE_REQUEST_H_
#define BRONZECROSS_GATEWAY_ONLINE_REQUEST_H_

#include <set>
#include <string>

#include "dispatch/event_splitter.h"
#include "dispatch/upstream_call.h"
#include "gateway/caller_reply.h"
#include "gateway/incoming_request.h"
#include "gateway/node.h"

namespace bronzecross {

enum class ServeEnd {
  kAnswered,   // a whole response was queued for the caller
  kAbandoned,  // the caller has left, or its response had to be broken off
};

class OnlineRequest {
 public:
  // All arguments must outlive this object.
  OnlineRequest(Node& node, HttpConnection& caller, IncomingRequest& request);

  Task<ServeEnd> Run();

 private:
  // What an attempt at one upstream came to.
  enum class AttemptEnd {
    kDelivered,  // the caller has the whole answer
    kElsewhere,  // another upstream may be tried
    kFailed,     // nothing may be tried any more
    kGone,       // the caller has left
  };

  Task<AttemptEnd> RunAttempt(UpstreamPtr upstream);
  Task<AttemptEnd> PassOnWhole(UpstreamCall& call);
  Task<AttemptEnd> PassOnStream(UpstreamCall& call, Upstream& upstream);
  // Queues the head of a streamed response, once.
  void QueueStreamHead(const MessageHead& upstream_head);
  // Counts a broken answer against the request.
  void NoteIfBroken(CallState state);
  bool MayRunAgain() const;
  SlotRequest MakeSlotRequest(const SlotQueue& queue) const;
  // Answers with an error, or breaks off a response that has begun.
  ServeEnd Refuse(ResultCode code,
                  std::string_view message,
                  Millis retry_after);
  ServeEnd RefuseForWantOfSlot(SlotQueue& queue);
  void LogAttempt(const Upstream& upstream, CallState state, int status) const;
  void LogEnd(std::string_view outcome, int status) const;

  Node& m_node;
  HttpConnection& m_caller;
  IncomingRequest& m_request;
  CallerCancellation m_cancellation;
  std::string_view m_service;
  uint32_t m_fingerprint = 0;
  Millis m_deadline;
  std::set<std::string, std::less<>> m_excluded;
  int m_refusals = 0;  // upstreams that stated that they didn't run it
  int m_runs = 0;      // upstreams at which it ran or may have run
  // Streams: whether the head was queued, and the last event passed on.
  bool m_stream_begun = false;
  int64_t m_last_event = -1;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_ONLINE_REQUEST_H_
