#include "gateway/caller_connection.h"

#include <algorithm>

#include "aio/wait.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/text.h"
#include "gateway/caller_reply.h"
#include "gateway/job_calls.h"
#include "gateway/job_submission.h"
#include "gateway/online_request.h"
#include "gateway/token_calls.h"
#include "platform/batch_calls.h"

namespace bronzecross {
namespace {

// Maximum time for sending a response to a caller that reads slowly.
constexpr Millis kSendTimeout{10'000};

// Maximum time for receiving a request body if the caller states no wait
// budget.
constexpr Millis kBodyTimeout{30'000};

// During a drain, an idle connection stays open for this long after the drain
// started, so that requests already on their way to it are served.
constexpr Millis kDrainIdleTimeout{1'500};

// During a drain, a newly accepted connection stays open for at least this long
// so that its first request can arrive.
constexpr Millis kFirstRequestTimeout{500};

// Returns the limits of the current configuration, or the defaults until the
// first configuration has been read.
const CallerLimits& GetLimits(const Node& node) {
  static const CallerLimits kDefaults;
  return node.m_config == nullptr ? kDefaults : node.m_config->m_limits;
}

// Status codes for requests that can't be read.
constexpr int kHeadTooLarge = 431;
constexpr int kBodyTooLarge = 413;
constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;

CallerReply MakeStatusReply(int status) {
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

// Retry-after time for requests that arrive before the first configuration has
// been read.
constexpr Millis kUnconfiguredRetryAfter{500};

void QueueReply(const Node& node,
                HttpConnection& caller,
                const IncomingRequest& request,
                const CallerReply& reply) {
  caller.Queue(
      reply.Serialize(node.m_draining_since == Millis(), request.WantedBody()));
}

// Increments a counter for the lifetime of this object. Counts open connections
// and requests in progress.
class ScopedCount {
 public:
  explicit ScopedCount(int& count) : m_count(count) { ++m_count; }
  ~ScopedCount() { --m_count; }
  ScopedCount(const ScopedCount&) = delete;
  ScopedCount& operator=(const ScopedCount&) = delete;

 private:
  int& m_count;
};

// Waits for the first byte of a request. Returns false if the connection should
// be closed: the caller closed it, or it was idle for too long.
Task<bool> WaitForRequest(Node& node, HttpConnection& caller) {
  const Millis began = MonotonicNow();
  const Millis idle_until = began + GetLimits(node).m_idle_timeout;
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
          std::min(until, std::max(node.m_draining_since + kDrainIdleTimeout,
                                   began + kFirstRequestTimeout));
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

// Reads one request. Returns 0, or the HTTP status to reject the request with.
Task<int> ReadRequest(Node& node,
                      HttpConnection& caller,
                      IncomingRequest& request) {
  const CallerLimits limits = GetLimits(node);
  const Millis head_deadline = MonotonicNow() + limits.m_header_timeout;
  const bool has_head = co_await caller.ReadHead(head_deadline);
  if (caller.Parser().HeadBytes() >
      limits.m_header_bytes + limits.m_body_bytes) {
    co_return kHeadTooLarge;
  }
  if (!has_head) {
    co_return caller.Parser().GetState() == ParseState::kFailed
        ? kBadRequest
        : kRequestTimeout;
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
      request.m_arrived + request.m_fields.m_wait_budget.value_or(kBodyTimeout);
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
                                                              : kRequestTimeout;
}

// Sets the configuration, route and workspace of a request. Fails with
// kStaleConfig before the first configuration has been read, and with
// kUnknownRoute, kMissingKey or kInvalidKey if the request must not be served.
Status Authorize(Node& node, IncomingRequest& request) {
  request.m_config = node.m_config;
  if (request.m_config == nullptr) {
    return tl::unexpected<Error>(MakeError(ResultCode::kStaleConfig,
                                           "no configuration is known yet",
                                           kUnconfiguredRetryAfter));
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

// Logs and counts the rejection of a request and queues the error response.
void RejectRequest(Node& node,
                   HttpConnection& caller,
                   const IncomingRequest& request,
                   const Error& error) {
  const CallerReply reply = MakeErrorReply(error);
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

// Serves a request that has been read. Returns false if the connection should
// be closed without queueing a response.
Task<bool> ServeRequest(Node& node,
                        HttpConnection& caller,
                        IncomingRequest& request) {
  co_await node.WaitUntilConfigured();
  const Status allowed = Authorize(node, request);
  if (!allowed) {
    RejectRequest(node, caller, request, allowed.error());
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
    const Status admitted =
        co_await node.m_quotas.Admit(MakeTokenRequest(request, MonotonicNow()),
                                     *request.m_workspace, cancellation);
    if (!admitted) {
      RejectRequest(node, caller, request, admitted.error());
      co_return true;
    }
  }
  OnlineRequest online(node, caller, request);
  const ServeResult end = co_await online.Run();
  co_return end == ServeResult::kResponded;
}

}  // namespace

Task<> ServeCaller(Node& node, std::unique_ptr<TcpStream> stream) {
  const ScopedCount counted(node.m_caller_connections);
  HttpConnection caller(std::move(stream), MessageKind::kRequest);
  for (;;) {
    const bool has_request = co_await WaitForRequest(node, caller);
    if (!has_request) {
      co_return;
    }
    const ScopedCount in_progress(node.m_requests_in_progress);
    IncomingRequest request;
    const int rejection_status = co_await ReadRequest(node, caller, request);
    if (rejection_status != 0) {
      caller.Queue(MakeStatusReply(rejection_status).Serialize(false));
      co_await caller.FlushAll(MonotonicNow() + kSendTimeout);
      co_return;
    }
    const bool keep_alive = caller.Parser().MayKeepAlive();
    const bool has_response = co_await ServeRequest(node, caller, request);
    if (!has_response) {
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
