#include "online/attempts.h"

#include <algorithm>
#include <cerrno>

#include <absl/strings/str_cat.h>

#include "base/log.h"
#include "http/hang_up.h"
#include "online/proxy_headers.h"

namespace bronzecross {
namespace {

constexpr int kMultipleChoices = 300;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kServerError = 500;
// Longer Retry-After times are not waited for.
constexpr Millis kMaxRetryAfterWait{2000};
// Time for which an upstream that returned 404 for a model gets no requests for
// that model.
constexpr Millis kModelRejectionTtl{3000};
// The head of the queue looks for free capacity at each change and at least
// this often, because the counts received from peers expire without a change
// signal.
constexpr Millis kQueuePollInterval{20};
constexpr Millis kHangUpCheckInterval{50};

Error CancelledError() {
  return Error{ResultCode::kCancelled, "the caller hung up"};
}

Error DeadlineError() {
  return Error{ResultCode::kDeadlineExceeded,
               "the deadline passed before the request could be sent"};
}

}  // namespace

Attempts::Attempts(AttemptContext& context, AttemptPlan plan)
    : m_context(context),
      m_plan(std::move(plan)),
      m_last_error{ResultCode::kNoUpstream,
                   "no upstream could serve the request"} {
  m_context.CountRequest();
}

void Attempts::SetLastError(const Error& error) {
  m_may_have_run = m_may_have_run || error.m_run == RunState::kUnknown;
  m_last_error = m_plan.m_guarded_call != nullptr
                     ? m_plan.m_guarded_call->MapError(error)
                     : error;
  m_last_error.m_run = m_may_have_run ? RunState::kUnknown : RunState::kNotRun;
}

HttpCall Attempts::MakeCall(const PickedUpstream& upstream) const {
  const HttpRequest& request = *m_plan.m_request;
  HttpCall call;
  call.m_method = request.m_method;
  call.m_url = absl::StrCat(upstream.m_url, request.m_path);
  call.m_headers = EndToEndHeaders(request.m_headers);
  call.m_body = m_plan.m_body.empty() ? request.m_body : m_plan.m_body;
  call.m_timeout = m_plan.m_deadline - MonotonicNow();
  call.m_headers.push_back(
      {std::string(kTimeoutHeader), std::to_string(call.m_timeout.count())});
  call.m_headers.push_back({"Via", "1.1 " + m_context.Options().m_vm_id});
  call.m_watch_fd = request.m_client_fd;
  call.m_cancel = m_plan.m_guarded_call != nullptr
                      ? &m_plan.m_guarded_call->m_cancel
                      : nullptr;
  call.m_fresh_connection = !m_plan.m_idempotent;
  return call;
}

// Returns whether the caller hung up or the key guard cancelled the call.
bool Attempts::IsAbandoned() const {
  return HasHungUp(m_plan.m_request->m_client_fd) ||
         (m_plan.m_guarded_call != nullptr &&
          m_plan.m_guarded_call->m_cancel.IsCancelled());
}

Status Attempts::CheckAllowed() {
  if (MonotonicNow() >= m_plan.m_deadline) {
    return tl::unexpected<Error>(DeadlineError());
  }
  if (m_plan.m_fingerprint != 0) {
    const CrashCount crashes =
        m_context.PoisonRequests().CrashCountOf(m_plan.m_fingerprint);
    if (IsPoisoned(crashes)) {
      return Fail(ResultCode::kPoisonedRequest,
                  absl::StrCat("the request crashed upstreams ",
                               crashes.m_crash_count, " times"));
    }
  }
  return {};
}

Result<PickedUpstream> Attempts::Pick() {
  const UpstreamRequirements need{m_plan.m_model, m_plan.m_service,
                                  m_failed_upstreams, Priority::kOnline,
                                  m_plan.m_prefixes};
  if (!m_retry_upstream.empty()) {
    const std::string name = std::move(m_retry_upstream);
    m_retry_upstream.clear();
    Result<PickedUpstream> same_upstream =
        m_context.Upstreams().PickNamed(name, Priority::kOnline, m_plan.m_id);
    if (same_upstream) {
      return same_upstream;
    }
  }
  if (m_plan.m_fingerprint != 0 &&
      IsSuspect(
          m_context.PoisonRequests().CrashCountOf(m_plan.m_fingerprint))) {
    return m_context.Upstreams().PickExclusive(need, m_plan.m_id,
                                               m_plan.m_deadline);
  }
  FairQueue& queue = m_context.QueueOf(m_plan.m_model + m_plan.m_service);
  if (queue.IsEmpty()) {
    Result<PickedUpstream> picked =
        m_context.Upstreams().Pick(need, m_plan.m_id);
    if (picked || picked.error().m_code != ResultCode::kOverloaded) {
      return picked;
    }
  }
  return PickFromQueue(need);
}

Result<PickedUpstream> Attempts::PickFromQueue(
    const UpstreamRequirements& need) {
  FairQueue& queue = m_context.QueueOf(m_plan.m_model + m_plan.m_service);
  FairQueue::Waiter waiter(m_plan.m_workspace);
  const Status joined = queue.Join(waiter);
  if (!joined) {
    return tl::unexpected<Error>(joined.error());
  }
  Result<PickedUpstream> picked = tl::unexpected<Error>(DeadlineError());
  while (MonotonicNow() < m_plan.m_deadline) {
    if (IsAbandoned()) {
      picked = tl::unexpected<Error>(CancelledError());
      break;
    }
    if (!queue.WaitTurn(waiter, std::min(kHangUpCheckInterval,
                                         m_plan.m_deadline - MonotonicNow()))) {
      continue;
    }
    const uint64_t version = m_context.Upstreams().Changes().Version();
    Result<PickedUpstream> found =
        m_context.Upstreams().Pick(need, m_plan.m_id);
    if (found || found.error().m_code != ResultCode::kOverloaded) {
      picked = std::move(found);
      break;
    }
    m_context.Upstreams().Changes().Wait(version, kQueuePollInterval);
  }
  queue.Leave(waiter);
  return picked;
}

Result<Attempt> Attempts::Open() {
  while (true) {
    const Status allowed = CheckAllowed();
    if (!allowed) {
      SetLastError(allowed.error());
      break;
    }
    Result<PickedUpstream> upstream = Pick();
    if (!upstream) {
      // After a failed attempt, its error is more useful to the caller than the
      // lack of another upstream.
      if (m_failed_upstreams.empty() ||
          upstream.error().m_code != ResultCode::kNoUpstream) {
        SetLastError(upstream.error());
      }
      break;
    }
    if (MonotonicNow() >= m_plan.m_deadline) {
      SetLastError(DeadlineError());
      break;
    }
    Result<std::unique_ptr<HttpStream>> opened =
        m_context.Http().Open(MakeCall(*upstream));
    bool retry = false;
    if (opened) {
      Attempt attempt{std::move(*upstream), std::move(*opened)};
      if (IsFinalResponse(attempt, retry)) {
        return attempt;
      }
    } else {
      retry = HandleError(*upstream, opened.error());
    }
    if (!retry) {
      break;
    }
  }
  return tl::unexpected<Error>(m_last_error);
}

bool Attempts::IsFinalResponse(const Attempt& attempt, bool& retry) {
  const int status = attempt.m_stream->HttpStatus();
  const std::string& name = attempt.m_upstream.m_name;
  const Millis retry_after = ParseRetryAfter(attempt.m_stream->Headers());
  if (status == kNotFound && !m_plan.m_model.empty() &&
      m_context.Options().m_throttle.m_cache_refusals) {
    SetLastError(FailMayHaveRun(ResultCode::kUpstreamFailed,
                                "the upstream does not have the model")
                     .value());
    m_context.Upstreams().ExcludeModel(name, m_plan.m_model,
                                       MonotonicNow() + kModelRejectionTtl);
    m_failed_upstreams.push_back(name);
    retry = m_context.TakeRetry();
    return false;
  }
  if (status >= kServerError) {
    m_context.Upstreams().ReportOutcome(
        name, m_context.Options().m_throttle.m_count_every_5xx);
  }
  if ((status != kTooManyRequests && status < kServerError) ||
      !m_plan.m_idempotent) {
    return true;
  }
  retry = HandleServerError(attempt, retry_after);
  return false;
}

bool Attempts::HandleServerError(const Attempt& attempt, Millis retry_after) {
  const int status = attempt.m_stream->HttpStatus();
  const std::string& name = attempt.m_upstream.m_name;
  SetLastError(Error{status == kTooManyRequests ? ResultCode::kOverloaded
                                                : ResultCode::kUpstreamFailed,
                     absl::StrCat("the upstream returned status ", status),
                     RunState::kUnknown, retry_after});
  if (retry_after > Millis(0)) {
    const RetryAfterPolicy policy =
        m_context.Options().m_throttle.m_retry_after;
    m_context.Upstreams().BackOff(name, MonotonicNow() + retry_after);
    // The upstream gets no requests until its Retry-After has passed. That
    // bounds the retries sent to it, so they take none from the retry budget.
    if (retry_after <= kMaxRetryAfterWait &&
        (policy == RetryAfterPolicy::kWhenFull ||
         (policy == RetryAfterPolicy::kSame &&
          WaitForRetryAfter(name, retry_after)))) {
      return true;
    }
  }
  m_failed_upstreams.push_back(name);
  return m_context.TakeRetry();
}

bool Attempts::WaitForRetryAfter(const std::string& upstream,
                                 Millis retry_after) {
  const Millis until = MonotonicNow() + retry_after;
  if (until >= m_plan.m_deadline ||
      std::find(m_waited_upstreams.begin(), m_waited_upstreams.end(),
                upstream) != m_waited_upstreams.end()) {
    return false;
  }
  while (MonotonicNow() < until) {
    if (IsAbandoned()) {
      return false;
    }
    SleepFor(std::min(kHangUpCheckInterval, until - MonotonicNow()));
  }
  m_waited_upstreams.push_back(upstream);
  m_retry_upstream = upstream;
  return true;
}

bool Attempts::RecordCrash(const PickedUpstream& upstream, const Error& error) {
  if (m_plan.m_fingerprint == 0 || error.m_run != RunState::kUnknown ||
      (error.m_code != ResultCode::kUpstreamFailed &&
       error.m_code != ResultCode::kStreamCut)) {
    return false;
  }
  const bool alone = m_context.Upstreams().RanAlone(upstream);
  if (!m_context.PoisonRequests().IsDead(upstream.m_url)) {
    return false;
  }
  m_context.PoisonRequests().RecordUpstreamCrash(m_plan.m_fingerprint,
                                                 upstream.m_name, alone);
  m_context.Upstreams().ReportCrash(upstream.m_name);
  return true;
}

bool Attempts::HandleError(PickedUpstream& upstream, const Error& error) {
  SetLastError(error);
  if (error.m_code == ResultCode::kCancelled) {
    return false;
  }
  const bool deadline = error.m_code == ResultCode::kDeadlineExceeded;
  if (!deadline || !m_plan.m_short_deadline) {
    m_context.Upstreams().ReportOutcome(upstream.m_name, true);
  }
  if (!m_plan.m_idempotent && error.m_run == RunState::kUnknown) {
    m_last_error.m_code = ResultCode::kOutcomeUnknown;
    return false;
  }
  if (deadline) {
    return MonotonicNow() < m_plan.m_deadline && m_context.TakeRetry();
  }
  const bool died = RecordCrash(upstream, error);
  m_failed_upstreams.push_back(upstream.m_name);
  // Crashes are rare and the poison request guard bounds them, so the requests
  // that ran on the same upstream are retried without the retry budget.
  const bool retry = died || m_context.TakeRetry();
  Log(Severity::kInfo, LogPart::kOnline, "An attempt failed.",
      {{"request", m_plan.m_id},
       {"upstream", upstream.m_name},
       {"code", GetResultCodeInfo(error.m_code).m_name},
       {"run", RunStateName(error.m_run)},
       {"died", died ? "yes" : "no"},
       {"again", retry ? "yes" : "no"}});
  return retry;
}

bool Attempts::ReportFailure(Attempt attempt, const Error& error) {
  return HandleError(attempt.m_upstream, error);
}

void Attempts::ReportSuccess(const Attempt& attempt) {
  const int status = attempt.m_stream->HttpStatus();
  if (status < kMultipleChoices) {
    m_context.Upstreams().ReportResponse(attempt.m_upstream);
  } else if (status < kServerError) {
    // Rejections are fast. If they counted as service times, routing would
    // prefer the upstream that rejects requests.
    m_context.Upstreams().ReportOutcome(attempt.m_upstream.m_name, false);
  }
  if (m_plan.m_fingerprint != 0 &&
      IsSuspect(
          m_context.PoisonRequests().CrashCountOf(m_plan.m_fingerprint))) {
    m_context.PoisonRequests().Clear(m_plan.m_fingerprint);
  }
}

Result<HttpAnswer> Attempts::Run() {
  while (true) {
    Result<Attempt> attempt = Open();
    if (!attempt) {
      return tl::unexpected<Error>(attempt.error());
    }
    HttpAnswer response;
    response.m_status = attempt->m_stream->HttpStatus();
    response.m_headers = EndToEndHeaders(attempt->m_stream->Headers());
    Result<std::string> piece = attempt->m_stream->ReadSome();
    while (piece && !piece->empty()) {
      response.m_body += *piece;
      piece = attempt->m_stream->ReadSome();
    }
    if (piece) {
      ReportSuccess(*attempt);
      return response;
    }
    if (!ReportFailure(std::move(*attempt), piece.error())) {
      return tl::unexpected<Error>(m_last_error);
    }
  }
}

}  // namespace bronzecross
