#include "base/result_code.h"

#include <algorithm>
#include <array>

namespace bronzecross {
namespace {

// Error types of the OpenAI API.
constexpr std::string_view kInvalid = "invalid_request_error";
constexpr std::string_view kAuth = "authentication_error";
constexpr std::string_view kUnavailable = "service_unavailable_error";
constexpr std::string_view kApi = "api_error";

constexpr std::array kTable = {
    ResultCodeInfo{ResultCode::kOk, "ok", 200, ""},
    ResultCodeInfo{ResultCode::kInvalidArgument, "invalid_argument", 400,
                   kInvalid},
    ResultCodeInfo{ResultCode::kMalformedBody, "malformed_body", 400, kInvalid},
    ResultCodeInfo{ResultCode::kUnknownModel, "unknown_model", 404, kInvalid},
    ResultCodeInfo{ResultCode::kUnknownRoute, "unknown_route", 404, kInvalid},
    ResultCodeInfo{ResultCode::kBodyTooLarge, "body_too_large", 413, kInvalid},
    ResultCodeInfo{ResultCode::kNotFound, "not_found", 404, kInvalid},
    ResultCodeInfo{ResultCode::kMethodNotAllowed, "method_not_allowed", 405,
                   kInvalid},
    ResultCodeInfo{ResultCode::kInvalidSettings, "invalid_settings", 400,
                   kInvalid},
    ResultCodeInfo{ResultCode::kInvalidManifest, "invalid_manifest", 400,
                   kInvalid},
    ResultCodeInfo{ResultCode::kConflict, "conflict", 409, kInvalid},
    ResultCodeInfo{ResultCode::kIdempotencyMismatch, "idempotency_mismatch",
                   422, kInvalid},
    ResultCodeInfo{ResultCode::kMissingKey, "missing_key", 401, kAuth},
    ResultCodeInfo{ResultCode::kInvalidKey, "invalid_key", 401, kAuth},
    ResultCodeInfo{ResultCode::kRateLimited, "rate_limited", 429,
                   "rate_limit_error"},
    ResultCodeInfo{ResultCode::kPoisonedRequest, "poisoned_request", 422,
                   kInvalid},
    ResultCodeInfo{ResultCode::kOverloaded, "overloaded", 503, kUnavailable},
    ResultCodeInfo{ResultCode::kDraining, "draining", 503, kUnavailable},
    ResultCodeInfo{ResultCode::kNoUpstream, "no_upstream", 503, kUnavailable},
    ResultCodeInfo{ResultCode::kStaleConfig, "stale_config", 503, kUnavailable},
    ResultCodeInfo{ResultCode::kStoreUnavailable, "store_unavailable", 503,
                   kUnavailable},
    ResultCodeInfo{ResultCode::kPeerUnavailable, "peer_unavailable", 503,
                   kUnavailable},
    ResultCodeInfo{ResultCode::kDiskFull, "disk_full", 507, kUnavailable},
    ResultCodeInfo{ResultCode::kFenced, "fenced", 503, kUnavailable},
    ResultCodeInfo{ResultCode::kNotOwner, "not_owner", 503, kUnavailable},
    ResultCodeInfo{ResultCode::kCorrupt, "corrupt", 500, kApi},
    ResultCodeInfo{ResultCode::kTooFewCopies, "too_few_copies", 503,
                   kUnavailable},
    ResultCodeInfo{ResultCode::kHistoryGone, "history_gone", 503, kUnavailable},
    ResultCodeInfo{ResultCode::kUpstreamFailed, "upstream_failed", 502, kApi},
    ResultCodeInfo{ResultCode::kDeadlineExceeded, "deadline_exceeded", 504,
                   kApi},
    ResultCodeInfo{ResultCode::kOutcomeUnknown, "outcome_unknown", 502, kApi},
    ResultCodeInfo{ResultCode::kCancelled, "cancelled", 499, kApi},
    ResultCodeInfo{ResultCode::kStreamCut, "stream_cut", 502, kApi},
    ResultCodeInfo{ResultCode::kInternal, "internal", 500, kApi},
};

}  // namespace

std::span<const ResultCodeInfo> AllResultCodes() {
  return kTable;
}

const ResultCodeInfo& GetResultCodeInfo(ResultCode code) {
  const auto found = std::find_if(
      kTable.begin(), kTable.end(),
      [code](const ResultCodeInfo& info) { return info.m_code == code; });
  return found != kTable.end() ? *found : kTable.back();
}

}  // namespace bronzecross
