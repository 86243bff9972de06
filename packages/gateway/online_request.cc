#include "gateway/online_request.h"

#include <algorithm>

#include "base/log.h"
#include "base/random.h"
#include "base/text.h"
#include "dispatch/repeat_rule.h"
#include "gateway/buffered_response.h"
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

// Minimum time for which a request waits for a slot.
constexpr Millis kMinSlotWait{30};

// Time to wait for the upstream beyond the deadline that it was given, so that
// its own response to a missed deadline arrives before the call times out.
constexpr Millis kDeadlineSlack{80};

constexpr int kFirstServerError = 500;
constexpr int kOkStatus = 200;

// A request that received more events before its response broke isn't the cause
// of the crash.
constexpr int kMaxEventsBeforeCrash = 1;

}  // namespace

OnlineRequest::OnlineRequest(Node& node,
                             HttpConnection& caller,
                             IncomingRequest& request)
    : m_node(node),
      m_caller(caller),
      m_request(request),
      m_cancellation(caller, node.m_is_stopping),
      m_service(PickService(*request.m_route, ThreadRandom())) {
  const Millis timeout = request.m_route->m_timeout;
  m_fingerprint = RequestFingerprint(
      request.m_workspace == nullptr ? "" : request.m_workspace->m_name,
      request.m_head.m_target, request.m_body);
  m_deadline =
      request.m_arrived +
      std::min(timeout, request.m_fields.m_wait_budget.value_or(timeout));
  const Service* service = FindServiceByName(*request.m_config, m_service);
  if (node.m_settings.m_prompt_affinity && service != nullptr &&
      service->m_is_engine) {
    m_memory_tokens = service->m_memory_tokens;
    m_prompt =
        ChainParts(request.m_fields.m_parts, request.m_fields.m_has_all_parts);
  }
}

bool OnlineRequest::MayRunAgain() const {
  return bronzecross::MayRunAgain(
      *m_request.m_route, {m_runs, m_can_resume, m_deadline - MonotonicNow()});
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
      std::max(slot.m_order.m_latest_start - now, kMinSlotWait);
  slot.m_wait_deadline =
      now + MaxQueueWait(queue.GetState(), time_left,
                         m_request.m_route->m_latency_target);
  slot.m_excluded = m_excluded;
  slot.m_regions = AllowedRegionsOf(*m_request.m_route, workspace);
  slot.m_tokens = Tokens();
  slot.m_prompt = m_prompt;
  return slot;
}

Task<ServeResult> OnlineRequest::Run() {
  const RunPermit permit = m_node.m_poison_requests.Permit(
      m_fingerprint,
      [this](std::string_view key) {
        return m_node.m_cluster.FirstResponsiveVmFor(key, MonotonicNow()) ==
               m_node.m_cluster.Self().m_id;
      },
      BootNow());
  if (permit == RunPermit::kBlocked) {
    co_return RejectBlocked();
  }
  m_is_trial = permit == RunPermit::kTrial;
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
        queue.Release(*upstream, Tokens());
      }
      co_return EndCancelled();
    }
    if (upstream == nullptr) {
      co_return RejectWithoutSlot(queue);
    }
    // Other runs may have crashed upstreams while this one waited.
    if (IsBlocked()) {
      queue.Release(*upstream, Tokens());
      co_return RejectBlocked();
    }
    if (HasCrashingPart()) {
      queue.Release(*upstream, Tokens());
      co_return RejectCrashingPart();
    }
    const Millis started = MonotonicNow();
    AttemptResult end = AttemptResult::kFailed;
    {
      const HeldSlot slot(queue, *upstream, Tokens());
      end = co_await RunAttempt(upstream);
    }
    if (end == AttemptResult::kDelivered) {
      queue.RecordServiceTime(MonotonicNow() - started);
      co_return ServeResult::kResponded;
    }
    if (end == AttemptResult::kCancelled) {
      co_return EndCancelled();
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
    if (IsBlocked()) {
      co_return RejectBlocked();
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
  if (bronzecross::MayRunAgain(
          route, {m_runs + 1, m_can_resume, options.m_wait_budget})) {
    request.m_response_timeout = route.m_latency_target * kUnresponsiveFactor;
  }
  const Millis started = MonotonicNow();
  m_attempt_started = BootNow();
  m_attempt_events = 0;
  UpstreamCall call(upstream, m_cancellation);
  PromptSend prompt(m_node.m_prompt_cache, upstream->m_run_key, m_memory_tokens,
                    m_prompt);
  const CallState state = co_await call.Start(request);
  LogAttempt(*upstream, state,
             state == CallState::kResponded ? call.Head().m_status : 0);
  if (state == CallState::kResponded && call.Head().m_status == kOkStatus) {
    prompt.OnResponse();
  } else if (state == CallState::kNotRun) {
    prompt.OnNotRun();
  } else {
    prompt.OnFailure();
  }
  switch (state) {
    case CallState::kNotRun:
      ++m_rejections;
      co_return AttemptResult::kTryAnother;
    case CallState::kUnsendable:
      co_return AttemptResult::kFailed;
    case CallState::kCancelled:
      ++m_runs;
      co_return AttemptResult::kCancelled;
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
      co_return AttemptResult::kCancelled;
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
  const bool is_unframed = call.EndsWithConnection();
  call.Finish();
  RecordCompletion(is_unframed, status, upstream);
  m_caller.Queue(*text);
  m_caller.Queue(body);
  LogEnd("answered", status);
  co_return AttemptResult::kDelivered;
}

bool OnlineRequest::IsBlocked() const {
  return m_is_trial ? m_runs > 0
                    : m_node.m_poison_requests.IsBlocked(m_fingerprint);
}

EndedRun OnlineRequest::MakeEndedRun() const {
  EndedRun run;
  run.m_fingerprint = m_fingerprint;
  run.m_started = m_attempt_started;
  run.m_is_trial = m_is_trial;
  run.m_parts = m_request.m_fields.m_shared_parts;
  return run;
}

void OnlineRequest::RecordIfBroken(CallState state,
                                   const UpstreamPtr& upstream) {
  if (state != CallState::kBroken) {
    return;
  }
  const EndedRun run = MakeEndedRun();
  RecordRequestCrash(m_node, *upstream, run);
  if (!run.m_parts.empty() && m_attempt_events <= kMaxEventsBeforeCrash) {
    Spawn(CheckForCrash(m_node, upstream, run, ResponseEnd::kBroken));
  }
}

void OnlineRequest::RecordCompletion(bool is_unframed,
                                     int status,
                                     const UpstreamPtr& upstream) {
  EndedRun run = MakeEndedRun();
  if (status != kOkStatus) {
    run.m_parts.clear();
  }
  const bool may_be_crash =
      is_unframed && m_attempt_events <= kMaxEventsBeforeCrash;
  if (may_be_crash && (!run.m_parts.empty() ||
                       m_node.m_poison_requests.IsSuspect(m_fingerprint))) {
    Spawn(CheckForCrash(m_node, upstream, run, ResponseEnd::kUnframed));
    return;
  }
  m_node.m_crashing_parts.OnCompletion(run.m_parts, MonotonicNow());
  if (!may_be_crash) {
    RecordRequestCompletion(m_node, run);
  }
}

bool OnlineRequest::HasCrashingPart() const {
  return m_node.m_crashing_parts
      .FindBlamedPart(m_request.m_fields.m_shared_parts)
      .has_value();
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
      co_return AttemptResult::kCancelled;
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
        co_return AttemptResult::kCancelled;
      }
      pace = PaceMeter();  // the wait for the caller isn't the upstream's
    } else if (!m_caller.Flush()) {
      co_return AttemptResult::kCancelled;
    }
  }
  const bool is_unframed = call.EndsWithConnection();
  call.Finish();
  RecordCompletion(is_unframed, kOkStatus, upstream);
  LogEnd("answered", kOkStatus);
  co_return AttemptResult::kDelivered;
}

}  // namespace bronzecross
