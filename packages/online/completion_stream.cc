#include "online/completion_stream.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "base/log.h"
#include "base/metrics.h"
#include "http/http_error_reply.h"

namespace bronzecross {
namespace {

constexpr int kOkStatus = 200;

}  // namespace

CompletionStream::CompletionStream(nlohmann::json request,
                                   Attempts attempts,
                                   Attempt attempt)
    : m_request(std::move(request)),
      m_attempts(std::move(attempts)),
      m_attempt(std::move(attempt)) {}

Result<size_t> CompletionStream::Read(std::span<char> buffer) {
  while (m_pending.empty()) {
    if (m_state == State::kEnded) {
      return 0;
    }
    if (m_state == State::kAborting) {
      return Fail(ResultCode::kStreamCut,
                  "the stream ended before the response was complete");
    }
    ReadFromUpstream();
  }
  const size_t count = std::min(buffer.size(), m_pending.size());
  std::copy_n(m_pending.begin(), count, buffer.begin());
  m_pending.erase(0, count);
  return count;
}

void CompletionStream::ReadFromUpstream() {
  const Result<std::string> piece = m_attempt.m_stream->ReadSome();
  if (IsKeyWithdrawn()) {
    EndWithError(m_attempts.Plan().m_guarded_call->MapError(
        Error{ResultCode::kCancelled, "", RunState::kUnknown}));
    return;
  }
  Status status;
  if (!piece) {
    status = tl::unexpected<Error>(piece.error());
  } else if (piece->empty() && !m_progress.m_done) {
    status = FailMayHaveRun(ResultCode::kStreamCut,
                            "the upstream's stream ended before \"[DONE]\"");
  } else {
    status = ConsumeBytes(*piece);
  }
  if (m_progress.m_done) {
    m_attempts.ReportSuccess(m_attempt);
    m_state = State::kEnded;
  } else if (!status) {
    HandleStreamError(status.error());
  }
}

// The key guard also cancels the call when this VM cannot confirm its
// configuration.
bool CompletionStream::IsKeyWithdrawn() {
  const std::shared_ptr<GuardedCall>& guard = m_attempts.Plan().m_guarded_call;
  return guard != nullptr && guard->m_cancel.IsCancelled();
}

Status CompletionStream::ConsumeBytes(std::string_view piece) {
  if (!m_splitter.Add(piece)) {
    return FailMayHaveRun(
        ResultCode::kStreamCut,
        "the unfinished events of the upstream's stream are too long");
  }
  std::optional<std::string> event = m_splitter.Next();
  while (event && !m_progress.m_done) {
    const Result<std::string> forwarded =
        ConsumeEvent(m_progress, std::move(*event));
    if (!forwarded) {
      return tl::unexpected<Error>(forwarded.error());
    }
    absl::StrAppend(&m_pending, *forwarded, "\n\n");
    event = m_splitter.Next();
  }
  return {};
}

void CompletionStream::HandleStreamError(const Error& error) {
  if (error.m_code == ResultCode::kCancelled) {
    m_state = State::kAborting;
    return;
  }
  Log(Severity::kWarning, LogPart::kOnline, "An upstream's stream failed.",
      {{"request", m_attempts.Plan().m_id},
       {"upstream", m_attempt.m_upstream.m_name},
       {"chunks", m_progress.m_chunks},
       {"error", error.m_message}});
  if (m_progress.m_finished) {
    // The caller has the whole text; only the closing event is missing.
    m_attempts.ReportFailure(std::move(m_attempt), error);
    m_pending += "data: [DONE]\n\n";
    m_state = State::kEnded;
    return;
  }
  std::optional<std::string> body = ContinuationBody(m_request, m_progress);
  m_attempt.m_stream.reset();
  const bool retry = m_attempts.ReportFailure(std::move(m_attempt), error);
  if (!body || !retry) {
    EndWithError(m_attempts.FinalError());
    return;
  }
  m_attempts.Plan().m_body = std::move(*body);
  if (!Resume()) {
    EndWithError(m_attempts.FinalError());
  }
}

bool CompletionStream::Resume() {
  Result<Attempt> attempt = m_attempts.Open();
  if (!attempt || attempt->m_stream->HttpStatus() != kOkStatus) {
    return false;
  }
  m_attempt = std::move(*attempt);
  m_splitter.Clear();
  m_progress.m_upstream_id.clear();
  CountMetric("bronzecross_streams_resumed_total");
  Log(Severity::kInfo, LogPart::kOnline, "Resumed a stream.",
      {{"request", m_attempts.Plan().m_id},
       {"upstream", m_attempt.m_upstream.m_name},
       {"chunks", m_progress.m_chunks}});
  return true;
}

void CompletionStream::EndWithError(const Error& error) {
  absl::StrAppend(&m_pending, "event: error\ndata: ", ErrorBody(error), "\n\n");
  m_attempt = Attempt();
  m_state = State::kAborting;
}

}  // namespace bronzecross
