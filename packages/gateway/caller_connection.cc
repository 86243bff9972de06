#include "gateway/caller_connection.h"

#include <algorithm>

#include "aio/wait.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/text.h"
#include "gateway/caller_reply.h"
#include "gateway/job_calls.h"
#include "gateway/online_request.h"
#include "platform/batch_calls.h"

namespace bronzecross {
namespace {

// How long a response may take to reach a caller that reads slowly.
constexpr Millis kSendTimeout{10'000};

// How long a request's body may take to arrive if the caller states no
// patience.
constexpr Millis kBodyTimeout{30'000};

// While the VM stops, an idle connection stays open so long after the start, so
// that requests under way to it are served.
constexpr Millis kIdleWhileDraining{1'500};

// A connection that was accepted later stays open for its first request so
// long.
constexpr Millis kFirstRequestTime{500};

// Used until the first configuration is known.
const CallerLimits& LimitsOf(const Node& node) {
  static const CallerLimits kDefaults;
  return node.m_config == nullptr ? kDefaults : node.m_config->m_limits;
}

// A request waits for a rate token up to this part of its latency target. A
// refusal within that time leaves its caller time for a second try.
constexpr int64_t kTokenPatienceDivisor = 5;

// A status line for requests that can't be read.
constexpr int kHeadTooLarge = 431;
constexpr int kBodyTooLarge = 413;
constexpr int kBadRequest = 400;
constexpr int kTimeout = 408;

CallerReply PlainReply(int status) {
  CallerReply reply;
  reply.m_status = status;
  return reply;
}

Error MakeError(ResultCode code, std::string_view message, Millis retry_after) {
  Error error;
  error.m_code = code;
  error.m_message = std::string(message);
  error.m_retry_after = retry_after;
  return error;
}

// Advice to callers that come before the first configuration was read.
constexpr Millis kRetryWhenConfigured{500};

void QueueReply(const Node& node,
                HttpConnection& caller,
                const IncomingRequest& request,
                const CallerReply& reply) {
  caller.Queue(
      reply.Serialize(node.m_draining_since == Millis(), request.WantedBody()));
}

// Counts an open connection while it lives.
class CallerCount {
 public:
  explicit CallerCount(int& count) : m_count(count) { ++m_count; }
  ~CallerCount() { --m_count; }
  CallerCount(const CallerCount&) = delete;
  CallerCount& operator=(const CallerCount&) = delete;

 private:
  int& m_count;
};

// Waits for the first byte of a request. Returns false if the connection is to
// be closed.
Task<bool> WaitForRequest(Node& node, HttpConnection& caller) {
  const Millis began = MonotonicNow();
  const Millis idle_until = began + LimitsOf(node).m_idle_timeout;
  for (;;) {
    if (caller.Parser().HeadBytes() > 0 ||
        caller.Parser().GetState() != ParseState::kHead) {
      co_return true;
    }
    const PumpState state = caller.Pump();
    if (state == PumpState::kProgress) {
      continue;
    }
    if (state != PumpState::kAgain) {
      co_return caller.Parser().HeadBytes() > 0;
    }
    Millis until = idle_until;
    if (node.m_draining_since != Millis()) {
      until =
          std::min(until, std::max(node.m_draining_since + kIdleWhileDraining,
                                   began + kFirstRequestTime));
    }
    if (MonotonicNow() >= until) {
      co_return false;
    }
    WaitAny wait(until);
    wait.Add(caller.Readable());
    wait.Add(node.m_drain_started);
    co_await wait;
  }
}

// Reads one request. Returns the status to refuse it with, or 0.
Task<int> ReadRequest(Node& node,
                      HttpConnection& caller,
                      IncomingRequest& request) {
  const CallerLimits limits = LimitsOf(node);
  const Millis head_deadline = MonotonicNow() + limits.m_header_timeout;
  const bool has_head = co_await caller.ReadHead(head_deadline);
  if (caller.Parser().HeadBytes() >
      limits.m_header_bytes + limits.m_body_bytes) {
    co_return kHeadTooLarge;
  }
  if (!has_head) {
    co_return caller.Parser().GetState() == ParseState::kFailed ? kBadRequest
                                                                : kTimeout;
  }
  request.m_arrived = MonotonicNow();
  request.m_head = caller.Parser().GetHead();
  request.m_fields = platform::DecodeCallerFields(request.m_head);
  size_t head_bytes = 0;
  for (const HeaderField& field : request.m_head.m_fields) {
    head_bytes += field.m_name.size() + field.m_value.size() + 4;
  }
  if (head_bytes + request.m_head.m_target.size() > limits.m_header_bytes) {
    co_return kHeadTooLarge;
  }
  if (caller.Parser().ContentLength() >
      static_cast<int64_t>(limits.m_body_bytes)) {
    co_return kBodyTooLarge;
  }
  if (EqualsIgnoreCase(request.m_head.Find("Expect"), "100-continue") &&
      caller.Parser().GetState() == ParseState::kBody) {
    caller.Queue("HTTP/1.1 100 Continue\r\n\r\n");
    caller.Flush();
  }
  const Millis body_deadline =
      request.m_arrived + request.m_fields.m_patience.value_or(kBodyTimeout);
  const bool has_body =
      co_await caller.ReadBody(body_deadline, limits.m_body_bytes);
  if (has_body) {
    request.m_body = std::move(caller.Parser().Body());
    co_return 0;
  }
  if (caller.Parser().Body().size() > limits.m_body_bytes) {
    co_return kBodyTooLarge;
  }
  co_return caller.Parser().GetState() == ParseState::kFailed ? kBadRequest
                                                              : kTimeout;
}

// Finds route and workspace of a request. Fails if it may not be served.
Status Authorize(Node& node, IncomingRequest& request) {
  request.m_config = node.m_config;
  if (request.m_config == nullptr) {
    return tl::unexpected<Error>(MakeError(ResultCode::kStaleConfig,
                                           "no configuration is known yet",
                                           kRetryWhenConfigured));
  }
  const FleetConfig& config = *request.m_config;
  const std::string_view path = TargetPath(request.m_head.m_target);
  request.m_route = FindRoute(config, request.m_fields.m_host, path);
  const bool is_job_call = platform::DecodeJobCall(request.m_head).m_kind !=
                           platform::JobCallKind::kNone;
  if (request.m_route == nullptr && !is_job_call) {
    return tl::unexpected<Error>(
        MakeError(ResultCode::kUnknownRoute, "no route matches", Millis()));
  }
  if (request.m_route != nullptr && request.m_route->m_public) {
    return {};
  }
  if (config.m_workspaces.empty()) {
    return {};
  }
  request.m_workspace = FindWorkspaceByKey(config, request.m_fields.m_key);
  if (request.m_workspace == nullptr) {
    return tl::unexpected<Error>(MakeError(request.m_fields.m_key.empty()
                                               ? ResultCode::kMissingKey
                                               : ResultCode::kInvalidKey,
                                           "the key is unknown", Millis()));
  }
  return {};
}

void Answer(Node& node,
            HttpConnection& caller,
            const IncomingRequest& request,
            const Error& error) {
  const CallerReply reply = ReplyOf(error);
  Log(Severity::kInfo, LogPart::kOnline, "A request was refused.",
      {{"request", request.m_fields.m_request_id},
       {"status", reply.m_status},
       {"code", GetResultCodeInfo(error.m_code).m_name},
       {"config",
        request.m_config == nullptr ? 0 : request.m_config->m_version}});
  CountMetric("bronzecross_requests_total",
              {{"outcome", GetResultCodeInfo(error.m_code).m_name}});
  QueueReply(node, caller, request, reply);
}

// Serves a request that was read. Returns false if the connection is to be
// closed without a further response.
Task<bool> ServeRequest(Node& node,
                        HttpConnection& caller,
                        IncomingRequest& request) {
  co_await node.WaitUntilConfigured();
  const Status allowed = Authorize(node, request);
  if (!allowed) {
    Answer(node, caller, request, allowed.error());
    co_return true;
  }
  const platform::JobCall call = platform::DecodeJobCall(request.m_head);
  if (call.m_kind != platform::JobCallKind::kNone) {
    const CallerReply reply = co_await ServeJobCall(node, request, call);
    QueueReply(node, caller, request, reply);
    co_return true;
  }
  if (request.m_route->m_kind == RouteKind::kBatch) {
    const CallerReply reply = co_await ServeSubmission(node, request);
    QueueReply(node, caller, request, reply);
    co_return true;
  }
  if (request.m_workspace != nullptr) {
    CallerCancellation cancellation(caller);
    const Status admitted = co_await node.m_quotas.Admit(
        request.m_fields.m_request_id, *request.m_workspace,
        request.m_route->m_latency_target / kTokenPatienceDivisor,
        cancellation);
    if (!admitted) {
      Answer(node, caller, request, admitted.error());
      co_return true;
    }
  }
  OnlineRequest online(node, caller, request);
  const ServeEnd end = co_await online.Run();
  co_return end == ServeEnd::kAnswered;
}

}  // namespace

Task<> ServeCaller(Node& node, std::unique_ptr<TcpStream> stream) {
  const CallerCount counted(node.m_callers);
  HttpConnection caller(std::move(stream), MessageKind::kRequest);
  for (;;) {
    const bool has_request = co_await WaitForRequest(node, caller);
    if (!has_request) {
      co_return;
    }
    const CallerCount in_progress(node.m_requests);
    IncomingRequest request;
    const int refusal = co_await ReadRequest(node, caller, request);
    if (refusal != 0) {
      caller.Queue(PlainReply(refusal).Serialize(false));
      co_await caller.FlushAll(MonotonicNow() + kSendTimeout);
      co_return;
    }
    const bool keep_alive = caller.Parser().MayKeepAlive();
    const bool answered = co_await ServeRequest(node, caller, request);
    if (!answered) {
      co_return;
    }
    const bool sent = co_await caller.FlushAll(MonotonicNow() + kSendTimeout);
    if (!sent || !keep_alive || node.m_draining_since != Millis()) {
      co_return;
    }
    caller.StartNextMessage();
  }
}

}  // namespace bronzecross
