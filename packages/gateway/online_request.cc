#include "gateway/online_request.h"

#include <algorithm>

#include "base/log.h"
#include "base/metrics.h"
#include "base/random.h"
#include "base/text.h"
#include "gateway/buffered_response.h"
#include "gateway/gossip_exchange.h"
#include "http1/write_message.h"

namespace bronzecross {
namespace {

// Number of upstreams that may reject a request before the caller's request is
// rejected.
constexpr int kMaxRejections = 6;

// Maximum size of one event of a stream. Bytes that never end an event would
// otherwise be collected until the deadline.
constexpr size_t kMaxEventBytes = 256 << 10;

// Number of bytes queued for a slow caller above which reading from the
// upstream pauses.
constexpr size_t kMaxQueuedBytes = 256 << 10;

// The same while the memory budget is short.
constexpr size_t kMaxQueuedBytesIfShort = 16 << 10;

// A request that may be repeated is sent to another upstream if there is no
// response within this many times its latency target.
constexpr int64_t kUnresponsiveFactor = 3;

// No further attempt is made if less than this time is left.
constexpr Millis kMinAttemptTime{30};

// Time to wait for the upstream beyond the deadline that it was given, so that
// its own response to a missed deadline arrives before the call times out.
constexpr Millis kDeadlineSlack{80};

constexpr int kFirstServerError = 500;
constexpr int kOkStatus = 200;

std::string_view StateName(CallState state) {
  switch (state) {
    case CallState::kResponded:
      return "answered";
    case CallState::kNotRun:
      return "not_run";
    case CallState::kUnsendable:
      return "unsendable";
    case CallState::kBroken:
      return "broken";
    case CallState::kUnresponsive:
      return "silent";
    case CallState::kCancelled:
      return "cancelled";
    case CallState::kTimedOut:
      return "timed_out";
  }
  return "";
}

// An upstream whose port still accepts connections within this time runs, so
// that a broken response isn't its crash.
constexpr Millis kCrashCheckTimeout{350};

// A request that received more events before its response broke isn't the cause
// of the crash.
constexpr int kMaxEventsBeforeCrash = 1;

static_assert(platform::kMaxSharedParts <= kMaxReportedParts);

// Finds out whether an upstream that broke off a response has crashed, and
// records that.
Task<> RecordIfCrashed(Node& node,
                       UpstreamPtr upstream,
                       std::vector<uint32_t> parts) {
  const Millis now = MonotonicNow();
  const std::unique_ptr<TcpStream> stream = co_await TcpStream::Connect(
      upstream->m_entry.m_address, now + kCrashCheckTimeout);
  if (stream == nullptr) {
    node.m_crashing_parts.OnCrash(upstream->m_hash, parts, now);
    node.m_gossip->SendToAllSoon();
  }
}

// Releases a slot at the end of its lifetime.
class HeldSlot {
 public:
  HeldSlot(SlotQueue& queue, Upstream& upstream)
      : m_queue(queue), m_upstream(upstream) {}
  ~HeldSlot() { m_queue.Release(m_upstream); }
  HeldSlot(const HeldSlot&) = delete;
  HeldSlot& operator=(const HeldSlot&) = delete;

 private:
  SlotQueue& m_queue;
  Upstream& m_upstream;
};

}  // namespace

OnlineRequest::OnlineRequest(Node& node,
                             HttpConnection& caller,
                             IncomingRequest& request)
    : m_node(node),
      m_caller(caller),
      m_request(request),
      m_cancellation(caller),
      m_service(PickService(*request.m_route, ThreadRandom())) {
  const Millis timeout = request.m_route->m_timeout;
  m_fingerprint = RequestFingerprint(
      request.m_workspace == nullptr ? "" : request.m_workspace->m_name,
      request.m_head.m_target, request.m_body);
  m_deadline =
      request.m_arrived +
      std::min(timeout, request.m_fields.m_wait_budget.value_or(timeout));
}

bool OnlineRequest::MayRunAgain() const {
  return m_request.m_route->IsRepeatable() && m_can_resume &&
         m_runs < m_request.m_route->m_max_attempts &&
         MonotonicNow() + kMinAttemptTime < m_deadline;
}

SlotRequest OnlineRequest::MakeSlotRequest(const SlotQueue& queue) const {
  const Workspace* workspace = m_request.m_workspace;
  SlotRequest slot;
  slot.m_order.m_priority = workspace != nullptr && workspace->m_priority >= 0
                                ? workspace->m_priority
                                : m_request.m_route->m_priority;
  slot.m_order.m_latest_on_time_start =
      m_request.m_arrived + m_request.m_route->m_latency_target;
  slot.m_order.m_latest_start = m_deadline - queue.ServiceTime();
  const Millis now = MonotonicNow();
  const Millis time_left =
      std::max(slot.m_order.m_latest_start - now, kMinAttemptTime);
  slot.m_wait_deadline =
      now + MaxQueueWait(queue.GetState(), time_left,
                         m_request.m_route->m_latency_target);
  slot.m_excluded = m_excluded;
  return slot;
}

Task<ServeResult> OnlineRequest::Run() {
  if (m_node.m_poison_requests.ShouldBlock(m_fingerprint, m_node.m_cluster,
                                           MonotonicNow())) {
    co_return Reject(ResultCode::kUpstreamFailed,
                     "the request is blocked because too many upstreams failed "
                     "while serving it",
                     Millis());
  }
  if (HasCrashingPart()) {
    co_return RejectCrashingPart();
  }
  SlotQueue& queue = m_node.QueueOf(m_service);
  const QueueState state = queue.GetState();
  const Millis expected = ExpectedWait(state);
  if (state.m_waiting > 0 && ShouldReject(expected, m_deadline - MonotonicNow(),
                                          queue.ServiceTime())) {
    co_return RejectWithoutSlot(queue);
  }
  for (;;) {
    SlotRequest slot = MakeSlotRequest(queue);
    const UpstreamPtr upstream =
        co_await queue.Acquire(std::move(slot), m_cancellation);
    if (m_cancellation.IsCancelled()) {
      if (upstream != nullptr) {
        queue.Release(*upstream);
      }
      LogEnd("caller_left", 0);
      co_return ServeResult::kAbandoned;
    }
    if (upstream == nullptr) {
      co_return RejectWithoutSlot(queue);
    }
    if (HasCrashingPart()) {
      queue.Release(*upstream);
      co_return RejectCrashingPart();
    }
    const Millis started = MonotonicNow();
    AttemptResult end = AttemptResult::kFailed;
    {
      const HeldSlot slot(queue, *upstream);
      end = co_await RunAttempt(upstream);
    }
    if (end == AttemptResult::kDelivered) {
      m_node.m_poison_requests.RecordCompleteResponse(m_fingerprint);
      queue.RecordServiceTime(MonotonicNow() - started);
      co_return ServeResult::kResponded;
    }
    if (end == AttemptResult::kCallerLeft) {
      LogEnd("caller_left", 0);
      co_return ServeResult::kAbandoned;
    }
    if (end == AttemptResult::kFailed) {
      if (MonotonicNow() >= m_deadline) {
        co_return Reject(ResultCode::kDeadlineExceeded,
                         "the deadline of the request has passed", Millis());
      }
      co_return Reject(ResultCode::kUpstreamFailed,
                       "the upstream did not complete its response", Millis());
    }
    if (m_rejections >= kMaxRejections) {
      co_return RejectWithoutSlot(queue);
    }
    m_excluded.insert(upstream->m_entry.m_id);
  }
}

Task<OnlineRequest::AttemptResult> OnlineRequest::RunAttempt(
    UpstreamPtr upstream) {
  const Route& route = *m_request.m_route;
  platform::ForwardOptions options;
  options.m_wait_budget = m_deadline - MonotonicNow();
  options.m_instance = upstream->m_entry.m_id;
  if (m_request.m_workspace != nullptr) {
    options.m_workspace = m_request.m_workspace->m_name;
  }
  if (m_last_event_id >= 0) {
    options.m_resume_after = m_last_event_id;
  }
  options.m_body_bytes = m_request.m_body.size();
  const MessageHead head =
      platform::EncodeForwardedHead(m_request.m_head, options);
  UpstreamRequest request;
  request.m_head = &head;
  request.m_body = m_request.m_body;
  request.m_request_id = m_request.m_fields.m_request_id;
  request.m_deadline = m_deadline + kDeadlineSlack;
  if (route.IsRepeatable() && m_runs + 1 < route.m_max_attempts) {
    request.m_response_timeout = route.m_latency_target * kUnresponsiveFactor;
  }
  const Millis started = MonotonicNow();
  m_attempt_events = 0;
  UpstreamCall call(upstream, m_cancellation);
  const CallState state = co_await call.Start(request);
  LogAttempt(*upstream, state,
             state == CallState::kResponded ? call.Head().m_status : 0);
  switch (state) {
    case CallState::kNotRun:
      ++m_rejections;
      co_return AttemptResult::kTryAnother;
    case CallState::kUnsendable:
      co_return AttemptResult::kFailed;
    case CallState::kCancelled:
      co_return AttemptResult::kCallerLeft;
    case CallState::kTimedOut:
      ++m_runs;
      co_return AttemptResult::kFailed;
    case CallState::kBroken:
    case CallState::kUnresponsive:
      ++m_runs;
      RecordIfBroken(state, upstream);
      co_return MayRunAgain() ? AttemptResult::kTryAnother
                              : AttemptResult::kFailed;
    case CallState::kResponded:
      break;
  }
  ++m_runs;
  if (call.Head().m_status >= kFirstServerError && MayRunAgain()) {
    co_return AttemptResult::kTryAnother;
  }
  AttemptResult end = AttemptResult::kFailed;
  const bool is_stream = route.m_kind == RouteKind::kStreaming &&
                         call.Head().m_status == kOkStatus &&
                         m_request.WantedBody() == ResponseBody::kSent;
  if (is_stream && m_stream_started &&
      call.Head().Find("Content-Type") != m_stream_type) {
    call.MarkBroken();
    co_return MayRunAgain() ? AttemptResult::kTryAnother
                            : AttemptResult::kFailed;
  }
  if (is_stream) {
    end = co_await RelayStream(call, upstream);
  } else if (!m_stream_started) {
    end = co_await RelayBuffered(call, upstream);
    if (end == AttemptResult::kDelivered) {
      RecordRequestTime(*upstream, MonotonicNow() - started);
    }
  }
  co_return end;
}

Task<OnlineRequest::AttemptResult> OnlineRequest::RelayBuffered(
    UpstreamCall& call,
    const UpstreamPtr& upstream) {
  std::string body;
  BufferedResponse buffered(m_node.m_buffered_bytes, *m_request.m_lease);
  while (!call.IsComplete()) {
    CallState state =
        co_await call.ReadBody(body, m_deadline + kDeadlineSlack, nullptr);
    if (state == CallState::kCancelled) {
      co_return AttemptResult::kCallerLeft;
    }
    const BufferedResponse::Verdict verdict =
        buffered.Update(body.size(), body.capacity());
    if (state == CallState::kResponded &&
        verdict == BufferedResponse::Verdict::kNoMemory) {
      // The upstream isn't to blame, and neither is the request.
      m_node.CountRefusal(ReadFault::kBudgetFull);
      co_return AttemptResult::kFailed;
    }
    if (state == CallState::kResponded &&
        verdict == BufferedResponse::Verdict::kTooLarge) {
      call.MarkBroken();
      state = CallState::kBroken;
    }
    RecordIfBroken(state, upstream);
    if (state != CallState::kResponded) {
      co_return state == CallState::kBroken&& MayRunAgain()
          ? AttemptResult::kTryAnother
          : AttemptResult::kFailed;
    }
  }
  const CallState last =
      co_await call.ReadBody(body, m_deadline + kDeadlineSlack, nullptr);
  if (last != CallState::kResponded) {
    co_return AttemptResult::kFailed;
  }
  MessageHead head = platform::EncodeResponseHead(call.Head());
  const int status = head.m_status;
  if (m_request.WantedBody() == ResponseBody::kNone) {
    // The upstream declares the length of the body that it omits.
    if (call.DeclaredLength() >= 0) {
      head.Add("Content-Length", Concat(call.DeclaredLength()));
    }
  } else if (status != 204 && status != 304) {
    head.Add("Content-Length", Concat(body.size()));
  }
  if (m_node.m_draining_since != Millis()) {
    head.Add("Connection", "close");
  }
  const std::optional<std::string> text = WriteResponseHead(head);
  if (!text) {
    co_return AttemptResult::kFailed;
  }
  call.Finish();
  if (status == kOkStatus) {
    m_node.m_crashing_parts.OnCompletion(m_request.m_fields.m_shared_parts,
                                         MonotonicNow());
  }
  m_caller.Queue(*text);
  m_caller.Queue(body);
  LogEnd("answered", status);
  co_return AttemptResult::kDelivered;
}

void OnlineRequest::RecordIfBroken(CallState state,
                                   const UpstreamPtr& upstream) {
  if (state != CallState::kBroken) {
    return;
  }
  m_node.m_poison_requests.RecordBrokenResponse(m_fingerprint, MonotonicNow());
  if (!m_request.m_fields.m_shared_parts.empty() &&
      m_attempt_events <= kMaxEventsBeforeCrash) {
    Spawn(RecordIfCrashed(m_node, upstream, m_request.m_fields.m_shared_parts));
  }
}

bool OnlineRequest::HasCrashingPart() const {
  return m_node.m_crashing_parts
      .FindBlamedPart(m_request.m_fields.m_shared_parts)
      .has_value();
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

bool OnlineRequest::QueueStreamHead(const MessageHead& upstream_head) {
  if (m_stream_started) {
    return true;
  }
  MessageHead head = platform::EncodeResponseHead(upstream_head);
  head.Add("Transfer-Encoding", "chunked");
  if (m_node.m_draining_since != Millis()) {
    head.Add("Connection", "close");
  }
  const std::optional<std::string> text = WriteResponseHead(head);
  if (!text) {
    return false;
  }
  m_stream_started = true;
  m_stream_type = std::string(upstream_head.Find("Content-Type"));
  m_caller.Queue(*text);
  return true;
}

Task<OnlineRequest::AttemptResult> OnlineRequest::RelayStream(
    UpstreamCall& call,
    const UpstreamPtr& upstream) {
  const Millis deadline = m_deadline + kDeadlineSlack;
  EventSplitter splitter;
  const int64_t resumed_after = m_last_event_id;
  PaceMeter pace;
  for (;;) {
    std::string bytes;
    const CallState state = co_await call.ReadBody(bytes, deadline, nullptr);
    if (state == CallState::kCancelled) {
      co_return AttemptResult::kCallerLeft;
    }
    if (state == CallState::kTimedOut) {
      co_return AttemptResult::kFailed;
    }
    RecordIfBroken(state, upstream);
    if (state != CallState::kResponded) {
      // Another upstream resumes the stream after m_last_event_id. If no event
      // was relayed, it runs the request from its start.
      co_return MayRunAgain() ? AttemptResult::kTryAnother
                              : AttemptResult::kFailed;
    }
    splitter.Feed(bytes);
    std::string chunk;
    StreamEvent event;
    int events = 0;
    while (splitter.Next(event)) {
      ++events;
      // An upstream that resumes the stream may send events again that the
      // caller has.
      if (event.m_id >= 0 && event.m_id <= resumed_after) {
        continue;
      }
      chunk += event.m_bytes;
      m_last_event_id = event.m_id;
      m_can_resume = event.m_id >= 0;
    }
    m_attempt_events += events;
    RecordEvents(*upstream, pace, events);
    const bool is_cut = call.IsComplete() && call.EndsWithConnection() &&
                        splitter.IsInsideEvent();
    const bool complete = call.IsComplete() && !is_cut;
    if (complete) {
      chunk += splitter.Rest();
    }
    std::string framed;
    AppendChunk(framed, chunk);
    if (!framed.empty() || complete) {
      if (!QueueStreamHead(call.Head())) {
        co_return AttemptResult::kFailed;
      }
      m_caller.Queue(framed);
    }
    if (complete) {
      m_caller.Queue(kLastChunk);
      break;
    }
    if (is_cut || splitter.Rest().size() > kMaxEventBytes) {
      call.MarkBroken();
      RecordIfBroken(CallState::kBroken, upstream);
      co_return MayRunAgain() ? AttemptResult::kTryAnother
                              : AttemptResult::kFailed;
    }
    const size_t max_queued =
        m_caller.CountHeld(m_request.m_held_bytes) == BudgetVerdict::kFits
            ? kMaxQueuedBytes
            : kMaxQueuedBytesIfShort;
    if (m_caller.QueuedBytes() > max_queued) {
      const bool sent = co_await m_caller.FlushAll(deadline);
      if (!sent) {
        co_return AttemptResult::kCallerLeft;
      }
      pace = PaceMeter();  // the wait for the caller isn't the upstream's
    } else if (!m_caller.Flush()) {
      co_return AttemptResult::kCallerLeft;
    }
  }
  call.Finish();
  m_node.m_crashing_parts.OnCompletion(m_request.m_fields.m_shared_parts,
                                       MonotonicNow());
  LogEnd("answered", kOkStatus);
  co_return AttemptResult::kDelivered;
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

void OnlineRequest::LogAttempt(const Upstream& upstream,
                               CallState state,
                               int status) const {
  Log(Severity::kInfo, LogPart::kRouting, "Tried an upstream.",
      {{"request", m_request.m_fields.m_request_id},
       {"upstream", upstream.m_entry.m_id},
       {"state", StateName(state)},
       {"status", status},
       {"online", upstream.m_online},
       {"batch", upstream.m_batch},
       {"peer_online", upstream.m_peer_online},
       {"peer_batch", upstream.m_peer_batch},
       {"ms", MonotonicNow() - m_request.m_arrived}});
}

void OnlineRequest::LogEnd(std::string_view outcome, int status) const {
  const Millis took = MonotonicNow() - m_request.m_arrived;
  const std::string& route = m_request.m_route->m_name;
  Log(Severity::kInfo, LogPart::kOnline, "A request ended.",
      {{"request", m_request.m_fields.m_request_id},
       {"route", route},
       {"workspace",
        m_request.m_workspace == nullptr ? "-" : m_request.m_workspace->m_name},
       {"config", m_request.m_config->m_version},
       {"outcome", outcome},
       {"status", status},
       {"refusals", m_rejections},
       {"runs", m_runs},
       {"ms", took}});
  CountMetric("bronzecross_requests_total", {{"outcome", outcome}});
  ObserveSeconds("bronzecross_request_seconds", {{"outcome", outcome}},
                 took.Seconds());
}

}  // namespace bronzecross
