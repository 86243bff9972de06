#include "batch/item_runner.h"

#include <absl/strings/str_cat.h>

#include "batch/chat_collector.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr int kTooManyRequests = 429;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

ItemRunResult MakeResponseResult(const AssignedItem& item,
                                 const HttpAnswer& response) {
  ItemRunResult result;
  if (item.m_idempotent && (response.m_status == kTooManyRequests ||
                            response.m_status == kUnavailable)) {
    result.m_outcome.m_kind = OutcomeKind::kNotRun;
    result.m_pause_upstream = true;
    return result;
  }
  if (item.m_idempotent && response.m_status >= kServerError) {
    result.m_outcome.m_kind = OutcomeKind::kFailedAttempt;
    result.m_outcome.m_line =
        ErrorLine(item.m_item.m_custom_id,
                  Error{ResultCode::kUpstreamFailed,
                        absl::StrCat("the upstream responded with status ",
                                     response.m_status),
                        RunState::kUnknown});
    return result;
  }
  result.m_outcome.m_kind = OutcomeKind::kResponded;
  result.m_outcome.m_succeeded = response.m_status < 400;
  result.m_outcome.m_line = ResultLine(item.m_item.m_custom_id, response);
  return result;
}

ItemRunResult MakeFailureResult(const AssignedItem& item,
                                Error error,
                                bool cancelled,
                                std::string partial) {
  ItemRunResult result;
  ItemOutcome& outcome = result.m_outcome;
  if (error.m_run == RunState::kNotRun) {
    outcome.m_kind = OutcomeKind::kNotRun;
    result.m_pause_upstream = !cancelled;
  } else if (!item.m_idempotent) {
    outcome.m_kind = OutcomeKind::kUnknown;
    outcome.m_line = ErrorLine(item.m_item.m_custom_id,
                               Error{ResultCode::kOutcomeUnknown,
                                     error.m_message, RunState::kUnknown});
  } else if (cancelled) {
    outcome.m_kind = OutcomeKind::kPreempted;
    outcome.m_partial = std::move(partial);
  } else {
    outcome.m_kind = OutcomeKind::kFailedAttempt;
    outcome.m_crash_suspected = error.m_code == ResultCode::kUpstreamFailed ||
                                error.m_code == ResultCode::kStreamCut;
    outcome.m_line = ErrorLine(item.m_item.m_custom_id, error);
    result.m_pause_upstream = outcome.m_crash_suspected;
  }
  return result;
}

ItemRunResult RunStreaming(HttpClient& http,
                           const HttpCall& call,
                           const AssignedItem& item,
                           const CancelToken& cancel) {
  ChatCollector collector;
  collector.m_text = item.m_partial;
  const Result<std::unique_ptr<HttpStream>> stream = http.Open(call);
  if (!stream) {
    return MakeFailureResult(item, stream.error(), cancel.IsCancelled(),
                             item.m_partial);
  }
  HttpAnswer response;
  response.m_status = (*stream)->HttpStatus();
  while (true) {
    const Result<std::string> piece = (*stream)->ReadSome();
    if (!piece) {
      return MakeFailureResult(item, piece.error(), cancel.IsCancelled(),
                               collector.m_text);
    }
    if (piece->empty()) {
      break;
    }
    if (response.m_status == 200) {
      CollectChat(collector, *piece);
    } else if (response.m_body.size() < call.m_max_answer_bytes) {
      response.m_body += *piece;
    }
  }
  if (response.m_status != 200) {
    return MakeResponseResult(item, response);
  }
  if (!collector.m_done || collector.m_invalid) {
    return MakeFailureResult(
        item,
        Error{ResultCode::kStreamCut, "the upstream's stream ended early",
              RunState::kUnknown},
        cancel.IsCancelled(), collector.m_text);
  }
  response.m_body = Dump(BuildCompletion(collector));
  return MakeResponseResult(item, response);
}

}  // namespace

ItemRunResult RunItem(HttpClient& http,
                      const std::string& upstream_url,
                      const AssignedItem& item,
                      const CancelToken& cancel,
                      Millis timeout) {
  HttpCall call;
  call.m_method = item.m_item.m_method;
  call.m_url = absl::StrCat(upstream_url, item.m_item.m_url);
  call.m_headers = {{"Content-Type", "application/json"}};
  call.m_timeout = timeout;
  call.m_cancel = &cancel;
  call.m_fresh_connection = !item.m_idempotent;
  if (item.m_idempotent && item.m_item.m_url == "/v1/chat/completions") {
    const json body = MakeStreamingBody(item.m_item.m_body, item.m_partial);
    if (!body.is_null()) {
      const std::string text = Dump(body);
      call.m_body = text;
      return RunStreaming(http, call, item, cancel);
    }
  }
  call.m_body = item.m_item.m_body;
  const Result<HttpAnswer> response = http.Call(call);
  return response ? MakeResponseResult(item, *response)
                  : MakeFailureResult(item, response.error(),
                                      cancel.IsCancelled(), item.m_partial);
}

}  // namespace bronzecross
