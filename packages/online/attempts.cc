#include "online/attempts.h"

#include <algorithm>
#include <cerrno>

#include <absl/strings/str_cat.h>

#include "base/log.h"
#include "http/hang_up.h"
#include "online/passed_headers.h"

namespace bronzecross {
namespace {

constexpr int kMultipleChoices = 300;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kServerError = 500;
// A longer Retry-After is not waited out.
constexpr Millis kMaxWaitOut{2000};
// How long an upstream's refusal of a model is believed.
constexpr Millis kRefusalLife{3000};
// The head of the queue looks for room at each change and at least this often,
// as peers' counts age without a signal.
constexpr Millis kQueueLook{20};
constexpr Millis kHangUpCheck{50};

Error GivenUp() {
  return Error{ResultCode::kCancelled, "the caller hung up"};
}

Error TooLate() {
  return Error{ResultCode::kDeadlineExceeded,
               "the time allowed passed before the request could be sent"};
}

}  // namespace

Attempts::Attempts(AttemptShared& shared, AttemptPlan plan)
    : m_shared(shared),
      m_plan(std::move(plan)),
      m_last{ResultCode::kNoUpstream, "no upstream could serve the request"} {
  m_shared.CountRequest();
}

void Attempts::SetLast(const Error& error) {
  m_may_have_run = m_may_have_run || error.m_run == RunState::kUnknown;
  m_last = m_plan.m_guard != nullptr ? m_plan.m_guard->Explain(error) : error;
  m_last.m_run = m_may_have_run ? RunState::kUnknown : RunState::kNotRun;
}

HttpCall Attempts::MakeCall(const PickedUpstream& upstream) const {
  const HttpRequest& request = *m_plan.m_request;
  HttpCall call;
  call.m_method = request.m_method;
  call.m_url = absl::StrCat(upstream.m_url, request.m_path);
  call.m_headers = PassedHeaders(request.m_headers);
  call.m_body = m_plan.m_body.empty() ? request.m_body : m_plan.m_body;
  call.m_timeout = m_plan.m_deadline - MonotonicNow();
  call.m_headers.push_back(
      {std::string(kTimeoutHeader), std::to_string(call.m_timeout.count())});
  call.m_headers.push_back({"Via", "1.1 " + m_shared.Options().m_vm_id});
  call.m_watch_fd = request.m_client_fd;
  call.m_cancel =
      m_plan.m_guard != nullptr ? &m_plan.m_guard->m_cancel : nullptr;
  call.m_fresh_connection = !m_plan.m_idempotent;
  return call;
}

// Whether the caller hung up or its key was withdrawn.
bool Attempts::IsGivenUp() const {
  return HasHungUp(m_plan.m_request->m_client_fd) ||
         (m_plan.m_guard != nullptr && m_plan.m_guard->m_cancel.IsCancelled());
}

Status Attempts::CheckAllowed() {
  if (MonotonicNow() >= m_plan.m_deadline) {
    return tl::unexpected<Error>(TooLate());
  }
  if (m_plan.m_fingerprint != 0) {
    const CrashCount crashes =
        m_shared.Crashes().CrashCountOf(m_plan.m_fingerprint);
    if (IsPoisoned(crashes)) {
      return Fail(ResultCode::kPoisonedRequest,
                  absl::StrCat("the request crashed upstreams ",
                               crashes.m_crash_count, " times"));
    }
  }
  return {};
}

Result<PickedUpstream> Attempts::Pick() {
  const UpstreamRequirements need{m_plan.m_model, m_plan.m_service, m_failed,
                                  Priority::kOnline, m_plan.m_prefixes};
  if (!m_again.empty()) {
    const std::string name = std::move(m_again);
    m_again.clear();
    Result<PickedUpstream> again =
        m_shared.Upstreams().PickNamed(name, Priority::kOnline, m_plan.m_id);
    if (again) {
      return again;
    }
  }
  if (m_plan.m_fingerprint != 0 &&
      IsSuspect(m_shared.Crashes().CrashCountOf(m_plan.m_fingerprint))) {
    return m_shared.Upstreams().PickExclusive(need, m_plan.m_id,
                                              m_plan.m_deadline);
  }
  FairQueue& queue = m_shared.QueueOf(m_plan.m_model + m_plan.m_service);
  if (queue.IsEmpty()) {
    Result<PickedUpstream> picked =
        m_shared.Upstreams().Pick(need, m_plan.m_id);
    if (picked || picked.error().m_code != ResultCode::kOverloaded) {
      return picked;
    }
  }
  return PickInTurn(need);
}

Result<PickedUpstream> Attempts::PickInTurn(const UpstreamRequirements& need) {
  FairQueue& queue = m_shared.QueueOf(m_plan.m_model + m_plan.m_service);
  FairQueue::Waiter waiter(m_plan.m_workspace);
  const Status joined = queue.Join(waiter);
  if (!joined) {
    return tl::unexpected<Error>(joined.error());
  }
  Result<PickedUpstream> picked = tl::unexpected<Error>(TooLate());
  while (MonotonicNow() < m_plan.m_deadline) {
    if (IsGivenUp()) {
      picked = tl::unexpected<Error>(GivenUp());
      break;
    }
    if (!queue.WaitTurn(waiter, std::min(kHangUpCheck,
                                         m_plan.m_deadline - MonotonicNow()))) {
      continue;
    }
    const uint64_t version = m_shared.Upstreams().Changes().Version();
    Result<PickedUpstream> found = m_shared.Upstreams().Pick(need, m_plan.m_id);
    if (found || found.error().m_code != ResultCode::kOverloaded) {
      picked = std::move(found);
      break;
    }
    m_shared.Upstreams().Changes().Wait(version, kQueueLook);
  }
  queue.Leave(waiter);
  return picked;
}

Result<Attempt> Attempts::Open() {
  while (true) {
    const Status allowed = CheckAllowed();
    if (!allowed) {
      SetLast(allowed.error());
      break;
    }
    Result<PickedUpstream> upstream = Pick();
    if (!upstream) {
      // After a failed attempt its reason says more than "no other upstream".
      if (m_failed.empty() ||
          upstream.error().m_code != ResultCode::kNoUpstream) {
        SetLast(upstream.error());
      }
      break;
    }
    if (MonotonicNow() >= m_plan.m_deadline) {
      SetLast(TooLate());
      break;
    }
    Result<std::unique_ptr<HttpStream>> opened =
        m_shared.Http().Open(MakeCall(*upstream));
    bool again = false;
    if (opened) {
      Attempt attempt{std::move(*upstream), std::move(*opened)};
      if (IsFinal(attempt, again)) {
        return attempt;
      }
    } else {
      again = TakeError(*upstream, opened.error());
    }
    if (!again) {
      break;
    }
  }
  return tl::unexpected<Error>(m_last);
}

bool Attempts::IsFinal(const Attempt& attempt, bool& again) {
  const int status = attempt.m_stream->HttpStatus();
  const std::string& name = attempt.m_upstream.m_name;
  const Millis retry_after = RetryAfter(attempt.m_stream->Headers());
  if (status == kNotFound && !m_plan.m_model.empty() &&
      m_shared.Options().m_throttle.m_cache_refusals) {
    SetLast(FailMayHaveRun(ResultCode::kUpstreamFailed,
                           "the upstream does not have the model")
                .value());
    m_shared.Upstreams().ExcludeModel(name, m_plan.m_model,
                                      MonotonicNow() + kRefusalLife);
    m_failed.push_back(name);
    again = m_shared.TakeRetry();
    return false;
  }
  if (status >= kServerError) {
    m_shared.Upstreams().ReportOutcome(
        name, m_shared.Options().m_throttle.m_count_every_5xx);
  }
  if ((status != kTooManyRequests && status < kServerError) ||
      !m_plan.m_idempotent) {
    return true;
  }
  again = TakeServerError(attempt, retry_after);
  return false;
}

bool Attempts::TakeServerError(const Attempt& attempt, Millis retry_after) {
  const int status = attempt.m_stream->HttpStatus();
  const std::string& name = attempt.m_upstream.m_name;
  SetLast(Error{status == kTooManyRequests ? ResultCode::kOverloaded
                                           : ResultCode::kUpstreamFailed,
                absl::StrCat("the upstream answered ", status),
                RunState::kUnknown, retry_after});
  if (retry_after > Millis(0)) {
    const RetryAfterPolicy policy = m_shared.Options().m_throttle.m_retry_after;
    m_shared.Upstreams().BackOff(name, MonotonicNow() + retry_after);
    // The upstream may be picked again after its quiet time, which bounds what
    // is sent there, so that no retry budget is needed.
    if (retry_after <= kMaxWaitOut &&
        (policy == RetryAfterPolicy::kWhenFull ||
         (policy == RetryAfterPolicy::kSame && WaitOut(name, retry_after)))) {
      return true;
    }
  }
  m_failed.push_back(name);
  return m_shared.TakeRetry();
}

bool Attempts::WaitOut(const std::string& upstream, Millis retry_after) {
  const Millis until = MonotonicNow() + retry_after;
  if (until >= m_plan.m_deadline ||
      std::find(m_waited_out.begin(), m_waited_out.end(), upstream) !=
          m_waited_out.end()) {
    return false;
  }
  while (MonotonicNow() < until) {
    if (IsGivenUp()) {
      return false;
    }
    SleepFor(std::min(kHangUpCheck, until - MonotonicNow()));
  }
  m_waited_out.push_back(upstream);
  m_again = upstream;
  return true;
}

bool Attempts::NoteCrash(const PickedUpstream& upstream, const Error& error) {
  if (m_plan.m_fingerprint == 0 || error.m_run != RunState::kUnknown ||
      (error.m_code != ResultCode::kUpstreamFailed &&
       error.m_code != ResultCode::kStreamCut)) {
    return false;
  }
  const bool alone = m_shared.Upstreams().RanAlone(upstream);
  if (!m_shared.Crashes().IsDead(upstream.m_url)) {
    return false;
  }
  m_shared.Crashes().RecordUpstreamCrash(m_plan.m_fingerprint, upstream.m_name,
                                         alone);
  m_shared.Upstreams().ReportCrash(upstream.m_name);
  return true;
}

bool Attempts::TakeError(PickedUpstream& upstream, const Error& error) {
  SetLast(error);
  if (error.m_code == ResultCode::kCancelled) {
    return false;
  }
  const bool deadline = error.m_code == ResultCode::kDeadlineExceeded;
  if (!deadline || !m_plan.m_short_deadline) {
    m_shared.Upstreams().ReportOutcome(upstream.m_name, true);
  }
  if (!m_plan.m_idempotent && error.m_run == RunState::kUnknown) {
    m_last.m_code = ResultCode::kOutcomeUnknown;
    return false;
  }
  if (deadline) {
    return MonotonicNow() < m_plan.m_deadline && m_shared.TakeRetry();
  }
  const bool died = NoteCrash(upstream, error);
  m_failed.push_back(upstream.m_name);
  // Deaths are rare and bounded by the crash guard, so that the requests that
  // ran beside the cause need no budget.
  const bool again = died || m_shared.TakeRetry();
  Log(Severity::kInfo, LogPart::kOnline, "An attempt failed.",
      {{"request", m_plan.m_id},
       {"upstream", upstream.m_name},
       {"code", GetResultCodeInfo(error.m_code).m_name},
       {"run", RunStateName(error.m_run)},
       {"died", died ? "yes" : "no"},
       {"again", again ? "yes" : "no"}});
  return again;
}

bool Attempts::Failed(Attempt attempt, const Error& error) {
  return TakeError(attempt.m_upstream, error);
}

void Attempts::Succeeded(const Attempt& attempt) {
  const int status = attempt.m_stream->HttpStatus();
  if (status < kMultipleChoices) {
    m_shared.Upstreams().ReportResponse(attempt.m_upstream);
  } else if (status < kServerError) {
    // Refusals are fast. Learned as service times, they draw all requests to
    // the upstream that refuses them.
    m_shared.Upstreams().ReportOutcome(attempt.m_upstream.m_name, false);
  }
  if (m_plan.m_fingerprint != 0 &&
      IsSuspect(m_shared.Crashes().CrashCountOf(m_plan.m_fingerprint))) {
    m_shared.Crashes().Clear(m_plan.m_fingerprint);
  }
}

Result<HttpAnswer> Attempts::Run() {
  while (true) {
    Result<Attempt> attempt = Open();
    if (!attempt) {
      return tl::unexpected<Error>(attempt.error());
    }
    HttpAnswer answer;
    answer.m_status = attempt->m_stream->HttpStatus();
    answer.m_headers = PassedHeaders(attempt->m_stream->Headers());
    Result<std::string> piece = attempt->m_stream->ReadSome();
    while (piece && !piece->empty()) {
      answer.m_body += *piece;
      piece = attempt->m_stream->ReadSome();
    }
    if (piece) {
      Succeeded(*attempt);
      return answer;
    }
    if (!Failed(std::move(*attempt), piece.error())) {
      return tl::unexpected<Error>(m_last);
    }
  }
}

}  // namespace bronzecross
