#include "gateway/job_calls.h"

#include <algorithm>

#include "base/log.h"
#include "base/text.h"
#include "gateway/peer_calls.h"
#include "jobs/job_service.h"

namespace bronzecross {
namespace {

// Maximum time that a read waits for results.
constexpr Millis kMaxPollWait{1'000};

// Wait budget for callers that state none.
constexpr Millis kDefaultWaitBudget{4'000};

// Part of the wait budget that is reserved for sending the response to the
// caller.
constexpr Millis kResponseMargin{250};

// A VM that doesn't reply to a forwarded call within this time, in addition to
// the wait that the caller requested, counts as unreachable.
constexpr Millis kForwardTimeout{700};

// Time for the owner of a job to cancel it for another VM. The owner tells
// within it whether it did, or the other VM can't refuse the call.
constexpr Millis kForwardedCancelTime{1'800};

// How long a VM tries to tell the owner of a job that the job was cancelled.
// An owner that is cut off for longer reads the state of its jobs again.
constexpr Millis kTellOwnerFor{10'000};

constexpr int kOkStatus = 200;
constexpr int kAcceptedStatus = 202;
constexpr int kNotFoundStatus = 404;
constexpr int kMisdirected = 421;

std::string_view WorkspaceName(const IncomingRequest& request) {
  return request.m_workspace == nullptr ? std::string_view()
                                        : request.m_workspace->m_name;
}

std::string_view CallName(platform::JobCallKind kind) {
  switch (kind) {
    case platform::JobCallKind::kReadResults:
      return "read";
    case platform::JobCallKind::kReadItemBody:
      return "body";
    case platform::JobCallKind::kCancel:
      return "end";
    case platform::JobCallKind::kSubmitAgain:
      return "submit_again";
    case platform::JobCallKind::kNone:
      break;
  }
  return "none";
}

// Executes a call on this VM.
Task<CallerReply> ExecuteCall(Node& node,
                              platform::JobCall call,
                              std::string workspace,
                              Millis poll_wait,
                              Millis deadline) {
  CallerReply reply;
  if (call.m_kind == platform::JobCallKind::kReadResults) {
    const Result<ResultPage> page = co_await node.m_jobs->Read(
        call.m_job, workspace, call.m_after, poll_wait);
    if (!page) {
      co_return MakeErrorReply(page.error());
    }
    reply.m_body =
        platform::EncodeResults(page->m_total, call.m_after, page->m_results);
    co_return reply;
  }
  if (call.m_kind == platform::JobCallKind::kReadItemBody) {
    Result<std::string> body =
        co_await node.m_jobs->ReadBody(call.m_job, workspace, call.m_item);
    if (!body) {
      co_return MakeErrorReply(body.error());
    }
    reply.m_content_type = "application/octet-stream";
    reply.m_body = *std::move(body);
    co_return reply;
  }
  if (call.m_kind == platform::JobCallKind::kSubmitAgain) {
    const Status accepted =
        co_await node.m_jobs->ConfirmAccepted(call.m_job, workspace);
    if (!accepted) {
      co_return MakeErrorReply(accepted.error());
    }
    reply.m_status = kAcceptedStatus;
    co_return reply;
  }
  const Status ended =
      co_await node.m_jobs->Cancel(call.m_job, workspace, deadline);
  if (!ended) {
    co_return MakeErrorReply(ended.error());
  }
  co_return reply;
}

// Forwards a call to the VM `owner`, which may take the time `wait` for it.
// Fails with kPeerUnavailable if that VM can't be reached, and with kNotOwner
// if it doesn't run the job.
Task<Result<CallerReply>> ForwardCall(Node& node,
                                      std::string owner,
                                      platform::JobCall call,
                                      std::string workspace,
                                      Millis wait,
                                      Millis deadline) {
  WholeRequest request;
  request.m_head.m_method = "POST";
  request.m_head.m_target =
      Concat(kPeerJobPath, CallName(call.m_kind),
             "?job=", EncodeQueryValue(call.m_job),
             "&workspace=", EncodeQueryValue(workspace),
             "&item=", EncodeQueryValue(call.m_item), "&after=", call.m_after,
             "&wait=", wait.count());
  const Millis until =
      std::min(deadline, MonotonicNow() + wait + kForwardTimeout);
  Result<WholeResponse> response = co_await node.m_peer_calls->Call(
      std::move(owner), std::move(request), until);
  if (!response) {
    co_return tl::unexpected<Error>(response.error());
  }
  CallerReply reply;
  reply.m_status = static_cast<int>(
      ParseDecimal(response->m_head.Find(kPeerStatusField)).value_or(502));
  if (reply.m_status == kMisdirected) {
    co_return Fail(ResultCode::kNotOwner, "the VM doesn't run the job");
  }
  reply.m_content_type =
      std::string(response->m_head.Find(kPeerContentTypeField));
  reply.m_body = std::move(response->m_body);
  co_return reply;
}

// Passes the end of a job that this VM wrote to the store on to the owner,
// which would otherwise start items until its next write fails. Repeats this
// until the owner replies, since it may be cut off for a while.
Task<> TellOwnerOfEnd(Node& node,
                      platform::JobCall call,
                      std::string workspace) {
  const std::string job = call.m_job;
  const std::string owner = node.m_jobs->OwnerOf(job);
  if (owner.empty() || owner == node.m_cluster.Self().m_id) {
    co_return;
  }
  const Millis until = MonotonicNow() + kTellOwnerFor;
  std::string outcome = "time over";
  while (MonotonicNow() < until && node.m_jobs->OwnerOf(job) == owner) {
    const Result<CallerReply> told = co_await ForwardCall(
        node, owner, call, workspace, kForwardedCancelTime, kNever);
    if (told || told.error().m_code == ResultCode::kNotOwner) {
      outcome = told ? Concat("status ", told->m_status) : "not the owner";
      break;
    }
    outcome = told.error().m_message;
    co_await Sleep(kForwardTimeout);
  }
  Log(Severity::kInfo, LogPart::kBatch, "Told the owner of a job of its end.",
      {{"job", job}, {"owner", owner}, {"outcome", outcome}});
}

// Where keys are required, a caller without one isn't told which jobs exist.
CallerReply HideJobsFromAnonymous(const IncomingRequest& request,
                                  CallerReply reply) {
  if (reply.m_status != kNotFoundStatus || request.m_workspace != nullptr ||
      request.m_config->m_workspaces.empty()) {
    return reply;
  }
  return MakeErrorReply(
      Fail(ResultCode::kMissingKey, "the job can't be used without a key")
          .value());
}

}  // namespace

Millis JobCallDeadline(const IncomingRequest& request) {
  return request.m_arrived +
         request.m_fields.m_wait_budget.value_or(kDefaultWaitBudget) -
         kResponseMargin;
}

void LogJobCall(const IncomingRequest& request,
                std::string_view name,
                std::string_view job,
                const CallerReply& reply) {
  Log(Severity::kInfo, LogPart::kBatch, "Served a job call.",
      {{"request", request.m_fields.m_request_id},
       {"call", name},
       {"job", job},
       {"workspace", WorkspaceName(request)},
       {"status", reply.m_status},
       {"ms", MonotonicNow() - request.m_arrived}});
}

Task<CallerReply> ServeJobCall(Node& node, const IncomingRequest& request) {
  const platform::JobCall& call = request.m_job_call;
  const Millis poll_wait = std::min(request.m_fields.m_poll_wait, kMaxPollWait);
  const Millis deadline = JobCallDeadline(request);
  const std::string workspace(WorkspaceName(request));
  if (!IsValidJobId(call.m_job)) {
    const CallerReply unknown = MakeErrorReply(
        Fail(ResultCode::kNotFound, "no such job in this workspace").value());
    LogJobCall(request, CallName(call.m_kind), call.m_job, unknown);
    co_return unknown;
  }
  // The owner may still cancel the job after the forwarded call has failed.
  bool may_be_cancelled = false;
  if (!node.m_jobs->IsOwner(call.m_job)) {
    const std::string owner = node.m_jobs->OwnerOf(call.m_job);
    if (!owner.empty() && owner != node.m_cluster.Self().m_id) {
      const bool is_cancel = call.m_kind == platform::JobCallKind::kCancel;
      Result<CallerReply> forwarded = co_await ForwardCall(
          node, owner, call, workspace,
          is_cancel ? kForwardedCancelTime : poll_wait, deadline);
      if (forwarded) {
        CallerReply reply =
            HideJobsFromAnonymous(request, *std::move(forwarded));
        LogJobCall(request, CallName(call.m_kind), call.m_job, reply);
        co_return reply;
      }
      may_be_cancelled =
          is_cancel && forwarded.error().m_run == RunState::kUnknown;
    }
  }
  CallerReply reply =
      co_await ExecuteCall(node, call, workspace, poll_wait, deadline);
  if (may_be_cancelled && ImpliesNotRun(reply.m_status)) {
    reply = MakeErrorReply(
        FailMayHaveRun(ResultCode::kStoreUnavailable,
                       "the owner of the job may still cancel it")
            .value());
  }
  if (call.m_kind == platform::JobCallKind::kCancel &&
      reply.m_status == kOkStatus && !node.m_jobs->IsOwner(call.m_job)) {
    Spawn(TellOwnerOfEnd(node, call, workspace));
  }
  reply = HideJobsFromAnonymous(request, std::move(reply));
  LogJobCall(request, CallName(call.m_kind), call.m_job, reply);
  co_return reply;
}

Task<CallerReply> ServeForwardedJobCall(Node& node, MessageHead head) {
  const std::string_view name =
      StripPrefix(TargetPath(head.m_target), kPeerJobPath);
  platform::JobCall call;
  for (const platform::JobCallKind kind :
       {platform::JobCallKind::kReadResults,
        platform::JobCallKind::kReadItemBody, platform::JobCallKind::kCancel,
        platform::JobCallKind::kSubmitAgain}) {
    if (CallName(kind) == name) {
      call.m_kind = kind;
    }
  }
  call.m_job = QueryValue(head.m_target, "job").value_or("");
  call.m_item = QueryValue(head.m_target, "item").value_or("");
  call.m_after = ParseDecimal(QueryValue(head.m_target, "after").value_or("0"))
                     .value_or(0);
  const std::optional<std::string> workspace =
      QueryValue(head.m_target, "workspace");
  const Millis wait(
      ParseDecimal(QueryValue(head.m_target, "wait").value_or("0"))
          .value_or(0));
  // An empty workspace is a caller without a key; a missing one says nothing.
  if (call.m_kind == platform::JobCallKind::kNone || !workspace ||
      !node.m_jobs->IsOwner(call.m_job)) {
    node.m_jobs->CheckOwner(call.m_job);
    CallerReply reply;
    reply.m_status = kMisdirected;
    co_return reply;
  }
  CallerReply reply =
      co_await ExecuteCall(node, call, *workspace, wait, MonotonicNow() + wait);
  co_return reply;
}

}  // namespace bronzecross
