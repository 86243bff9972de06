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
#include "gateway/request_access.h"
#include "gateway/token_calls.h"
#include "jobs/job_service.h"

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

// An incomplete header section may exceed the limit by this, since the limit
// doesn't count the method, the version, line ends and optional white space.
constexpr size_t kHeaderSlack = 1'024;

// Retry-After time for requests for which there is no memory.
constexpr Millis kNoMemoryRetryAfter{500};

// Retry-After time for requests that a stopping VM rejects. Other VMs can serve
// them at once.
constexpr Millis kDrainRetryAfter{10};

// Group of the memory budget for callers without a workspace.
constexpr std::string_view kAnonymousGroup;

// Status codes for requests that can't be read.
constexpr int kHeadTooLarge = 431;
constexpr int kBodyTooLarge = 413;
constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kNoMemory = 503;

CallerReply MakeStatusReply(int status) {
  CallerReply reply;
  reply.m_status = status;
  if (status == kNoMemory) {
    reply.m_retry_after = kNoMemoryRetryAfter;
  }
  return reply;
}

// Returns the status for a request that can't be read. All are sent before the
// request has run.
int StatusOfFault(ReadFault fault, ParseState state) {
  switch (fault) {
    case ReadFault::kHeadTooLarge:
      return kHeadTooLarge;
    case ReadFault::kConnectionFull:
      return kBodyTooLarge;
    case ReadFault::kShareFull:
    case ReadFault::kBudgetFull:
      return kNoMemory;
    case ReadFault::kTooSlow:
      return kRequestTimeout;
    case ReadFault::kNone:
      break;
  }
  return state == ParseState::kFailed ? kBadRequest : kRequestTimeout;
}

ReadBounds MakeReadBounds(const Node& node, BudgetLease& lease) {
  ReadBounds bounds;
  bounds.m_lease = &lease;
  bounds.m_incomplete_head_bytes = node.Limits().m_header_bytes + kHeaderSlack;
  bounds.m_body_rate = {node.m_settings.m_min_body_bytes_per_s,
                        node.m_settings.m_body_grace};
  return bounds;
}

// Counts the body toward the share of the caller's workspace.
void JoinWorkspace(const Node& node, IncomingRequest& request) {
  const Workspace* workspace =
      node.m_config == nullptr
          ? nullptr
          : FindWorkspaceByKey(*node.m_config, request.m_fields.m_key);
  request.m_lease->JoinGroup(workspace == nullptr
                                 ? kAnonymousGroup
                                 : std::string_view(workspace->m_name));
}

// Returns about how much memory a request takes that has been read. The body
// counts twice: it is copied to the send buffer of the upstream.
size_t HeldByRequest(const IncomingRequest& request) {
  size_t head = request.m_head.m_target.size();
  for (const HeaderField& field : request.m_head.m_fields) {
    head += sizeof(field) + field.m_name.size() + field.m_value.size();
  }
  return head + request.m_body.capacity() + request.m_body.size();
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

// Lists a connection in Node::m_served_callers for the lifetime of this object.
class ScopedServedCaller {
 public:
  ScopedServedCaller(Node& node, HttpConnection& caller)
      : m_node(node), m_condition(&caller.Readable()) {
    m_node.m_served_callers.insert(m_condition);
  }
  ~ScopedServedCaller() { m_node.m_served_callers.erase(m_condition); }
  ScopedServedCaller(const ScopedServedCaller&) = delete;
  ScopedServedCaller& operator=(const ScopedServedCaller&) = delete;

 private:
  Node& m_node;
  Condition* m_condition;
};

// Returns the time until which a request that may be served can take.
Millis LatestEnd(const IncomingRequest& request) {
  if (request.m_route == nullptr ||
      request.m_route->m_kind == RouteKind::kBatch) {
    return JobCallDeadline(request);
  }
  const Millis timeout = request.m_route->m_timeout;
  return request.m_arrived +
         std::min(timeout, request.m_fields.m_wait_budget.value_or(timeout));
}

// Returns whether this VM is draining and can't serve the request any more.
bool IsTooLateForDrain(const Node& node, const IncomingRequest& request) {
  return node.m_is_stopping ||
         (node.m_draining_since != Millis() &&
          ShouldRejectInDrain(node.m_drain, MonotonicNow(),
                              LatestEnd(request)));
}

// Waits for the first byte of a request. Returns false if the connection should
// be closed: the caller closed it, or it was idle for too long.
Task<bool> WaitForRequest(Node& node, HttpConnection& caller) {
  const Millis began = MonotonicNow();
  const Millis idle_until = began + node.Limits().m_idle_timeout;
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
  const CallerLimits limits = node.Limits();
  const Millis head_deadline = MonotonicNow() + limits.m_header_timeout;
  const bool has_head = co_await caller.ReadHead(head_deadline);
  if (!has_head) {
    co_return StatusOfFault(caller.Fault(), caller.Parser().GetState());
  }
  request.m_arrived = MonotonicNow();
  request.m_head = caller.Parser().GetHead();
  request.m_fields = platform::DecodeCallerFields(request.m_head);
  JoinWorkspace(node, request);
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
    request.m_held_bytes = HeldByRequest(request);
    const ReadFault fault = FaultOf(caller.CountHeld(request.m_held_bytes));
    node.CountRefusal(fault);
    co_return fault == ReadFault::kNone
        ? 0
        : StatusOfFault(fault, caller.Parser().GetState());
  }
  if (caller.Parser().Body().size() > limits.m_body_bytes) {
    co_return kBodyTooLarge;
  }
  co_return StatusOfFault(caller.Fault(), caller.Parser().GetState());
}

// Sets the configuration of a request, and what it addresses and in whose name.
// Fails with kStaleConfig before the first configuration has been read, with
// kStoreUnavailable if it can't be known whether the request is about a job,
// and like DecideAccess().
Task<Status> Authorize(Node& node, IncomingRequest& request) {
  for (;;) {
    request.m_config = node.m_config;
    if (request.m_config == nullptr) {
      co_return tl::unexpected<Error>(MakeError(ResultCode::kStaleConfig,
                                                "no configuration is known yet",
                                                kUnconfiguredRetryAfter));
    }
    const FleetConfig& config = *request.m_config;
    const Route* route = FindRoute(config, request.m_fields.m_host,
                                   TargetPath(request.m_head.m_target));
    platform::JobCall call = FindPossibleJobCall(
        request.m_head, request.m_fields, request.m_body, route);
    const RequestSubject subject =
        ClassifyRequest(config, request.m_fields, call, route);
    bool is_job_call = subject == RequestSubject::kJob;
    if (subject == RequestSubject::kJobIfItExists) {
      JobQuery query;
      query.m_job = call.m_job;
      query.m_host = request.m_fields.m_host;
      query.m_is_anonymous = IsAnonymous(config, request.m_fields);
      query.m_config_since = node.m_config_since;
      query.m_deadline = JobCallDeadline(request);
      const Result<bool> exists =
          co_await node.m_jobs->Lookup().Exists(std::move(query));
      if (!exists) {
        co_return tl::unexpected<Error>(exists.error());
      }
      if (node.m_config != request.m_config) {
        continue;
      }
      is_job_call = *exists;
    }
    Result<RequestAccess> access =
        DecideAccess(config, request.m_fields, call, route, is_job_call);
    if (!access) {
      co_return tl::unexpected<Error>(access.error());
    }
    request.m_route = access->m_route;
    request.m_workspace = access->m_workspace;
    request.m_job_call = std::move(access->m_job_call);
    co_return Status();
  }
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
  const Status allowed = co_await Authorize(node, request);
  if (!allowed) {
    RejectRequest(node, caller, request, allowed.error());
    co_return true;
  }
  if (IsTooLateForDrain(node, request)) {
    RejectRequest(node, caller, request,
                  MakeError(ResultCode::kDraining, "the VM is stopping",
                            kDrainRetryAfter));
    co_return true;
  }
  if (request.m_job_call.m_kind != platform::JobCallKind::kNone) {
    const CallerReply reply = co_await ServeJobCall(node, request);
    QueueReply(node, caller, request, reply);
    co_return true;
  }
  if (request.m_route->m_kind == RouteKind::kBatch) {
    const CallerReply reply = co_await ServeSubmission(node, request);
    QueueReply(node, caller, request, reply);
    co_return true;
  }
  if (request.m_workspace != nullptr) {
    CallerCancellation cancellation(caller, node.m_is_stopping);
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
  BudgetLease lease(node.m_budget);
  HttpConnection caller(std::move(stream), MessageKind::kRequest);
  ConnectionTable::Entry entry(node.m_caller_table, caller.Stream());
  for (;;) {
    lease.LeaveGroup();
    caller.SetBounds(MakeReadBounds(node, lease));
    caller.CountHeld(0);
    entry.SetClosable(true);
    const bool has_request = co_await WaitForRequest(node, caller);
    if (!has_request) {
      co_return;
    }
    const ScopedCount in_progress(node.m_requests_in_progress);
    IncomingRequest request;
    request.m_lease = &lease;
    const int rejection_status = co_await ReadRequest(node, caller, request);
    if (rejection_status != 0) {
      node.CountRefusal(caller.Fault());
      // Frees what was read before the response is sent.
      caller.StartNextMessage();
      caller.CountHeld(0);
      caller.Queue(MakeStatusReply(rejection_status).Serialize(false));
      co_await caller.FlushAll(MonotonicNow() + kSendTimeout);
      co_return;
    }
    entry.SetClosable(false);
    const bool keep_alive = caller.Parser().MayKeepAlive();
    bool has_response = false;
    {
      const ScopedServedCaller served(node, caller);
      has_response = co_await ServeRequest(node, caller, request);
    }
    if (!has_response) {
      co_return;
    }
    // While the response is sent, the request is no longer needed.
    std::string().swap(request.m_body);
    caller.CountHeld(0);
    entry.SetClosable(true);
    const bool sent = co_await caller.FlushAll(MonotonicNow() + kSendTimeout);
    if (!sent || !keep_alive || node.m_draining_since != Millis()) {
      co_return;
    }
    caller.StartNextMessage();
  }
}

}  // namespace bronzecross
