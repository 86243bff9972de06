// The ends of an online request other than a complete response of an upstream.

#include "base/log.h"
#include "gateway/online_request.h"

namespace bronzecross {

ServeResult OnlineRequest::RejectBlocked() {
  Log(Severity::kInfo, LogPart::kRouting, "The request is blocked.",
      {{"request", m_request.m_fields.m_request_id},
       {"fingerprint", m_fingerprint},
       {"runs", m_runs}});
  return Reject(ResultCode::kUpstreamFailed,
                "the request is blocked because upstreams crashed each time "
                "that they ran it",
                Millis());
}

ServeResult OnlineRequest::RejectCrashingPart() {
  Log(Severity::kInfo, LogPart::kRouting,
      "The request has a prompt part that crashes upstreams.",
      {{"request", m_request.m_fields.m_request_id},
       {"part", *m_node.m_crashing_parts.FindBlamedPart(
                    m_request.m_fields.m_shared_parts)}});
  return Reject(ResultCode::kUpstreamFailed,
                "a part of the prompt crashes the upstreams that answer it",
                Millis());
}

ServeResult OnlineRequest::Reject(ResultCode code,
                                  std::string_view message,
                                  Millis retry_after) {
  if (m_stream_started) {
    LogEnd("broken_off", 0);
    return ServeResult::kAbandoned;
  }
  Error error;
  error.m_code = code;
  error.m_message = std::string(message);
  error.m_run = m_runs > 0 ? RunState::kUnknown : RunState::kNotRun;
  error.m_retry_after = retry_after;
  const CallerReply reply = MakeErrorReply(error);
  m_caller.Queue(reply.Serialize(m_node.m_draining_since == Millis(),
                                 m_request.WantedBody()));
  LogEnd(GetResultCodeInfo(code).m_name, reply.m_status);
  return ServeResult::kResponded;
}

ServeResult OnlineRequest::EndCancelled() {
  if (m_caller.HasPeerClosed()) {
    LogEnd("caller_left", 0);
    return ServeResult::kAbandoned;
  }
  return Reject(ResultCode::kDraining,
                "the VM stops before the request has ended", Millis());
}

ServeResult OnlineRequest::RejectWithoutSlot(SlotQueue& queue) {
  const QueueState state = queue.GetState();
  Log(Severity::kInfo, LogPart::kRouting, "No slot for the request.",
      {{"request", m_request.m_fields.m_request_id},
       {"service", m_service},
       {"waiting", state.m_waiting},
       {"slots", state.m_slots},
       {"refusals", m_rejections}});
  return Reject(ResultCode::kOverloaded, "no upstream has a free slot",
                RetryAfter(ExpectedWait(state)));
}

}  // namespace bronzecross
