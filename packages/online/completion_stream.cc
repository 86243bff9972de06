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
    if (m_state == State::kCut) {
      return Fail(ResultCode::kStreamCut, "the stream was cut");
    }
    Step();
  }
  const size_t count = std::min(buffer.size(), m_pending.size());
  std::copy_n(m_pending.begin(), count, buffer.begin());
  m_pending.erase(0, count);
  return count;
}

void CompletionStream::Step() {
  const Result<std::string> piece = m_attempt.m_stream->ReadSome();
  if (IsKeyWithdrawn()) {
    EndWithError(m_attempts.Plan().m_guard->Explain(
        Error{ResultCode::kCancelled, "", RunState::kUnknown}));
    return;
  }
  Status taken;
  if (!piece) {
    taken = tl::unexpected<Error>(piece.error());
  } else if (piece->empty() && !m_progress.m_done) {
    taken = FailMayHaveRun(ResultCode::kStreamCut,
                           "the upstream's stream ended early");
  } else {
    taken = TakePiece(*piece);
  }
  if (m_progress.m_done) {
    m_attempts.Succeeded(m_attempt);
    m_state = State::kEnded;
  } else if (!taken) {
    TakeBreak(taken.error());
  }
}

// True as well when this VM can't confirm that the key is in force.
bool CompletionStream::IsKeyWithdrawn() {
  const std::shared_ptr<GuardedCall>& guard = m_attempts.Plan().m_guard;
  return guard != nullptr && guard->m_cancel.IsCancelled();
}

Status CompletionStream::TakePiece(std::string_view piece) {
  if (!m_splitter.Add(piece)) {
    return FailMayHaveRun(ResultCode::kStreamCut,
                          "an event of the upstream's stream is too long");
  }
  std::optional<std::string> event = m_splitter.Next();
  while (event && !m_progress.m_done) {
    const Result<std::string> passed = TakeEvent(m_progress, std::move(*event));
    if (!passed) {
      return tl::unexpected<Error>(passed.error());
    }
    absl::StrAppend(&m_pending, *passed, "\n\n");
    event = m_splitter.Next();
  }
  return {};
}

void CompletionStream::TakeBreak(const Error& error) {
  if (error.m_code == ResultCode::kCancelled) {
    m_state = State::kCut;
    return;
  }
  Log(Severity::kWarning, LogPart::kOnline, "A stream broke.",
      {{"request", m_attempts.Plan().m_id},
       {"upstream", m_attempt.m_upstream.m_name},
       {"chunks", m_progress.m_chunks},
       {"error", error.m_message}});
  if (m_progress.m_finished) {
    // The whole text is out; only the closing event was lost.
    m_attempts.Failed(std::move(m_attempt), error);
    m_pending += "data: [DONE]\n\n";
    m_state = State::kEnded;
    return;
  }
  std::optional<std::string> body = ContinuationBody(m_request, m_progress);
  m_attempt.m_stream.reset();
  const bool again = m_attempts.Failed(std::move(m_attempt), error);
  if (!body || !again) {
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
  m_state = State::kCut;
}

}  // namespace bronzecross
