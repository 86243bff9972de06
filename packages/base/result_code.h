// Numbered result codes. They are documented in docs/RESULT_CODES.md, and a
// test checks that the document lists all of them.

#ifndef BRONZECROSS_BASE_RESULT_CODE_H_
#define BRONZECROSS_BASE_RESULT_CODE_H_

#include <span>
#include <string_view>

namespace bronzecross {

enum class ResultCode {
  kOk = 0,
  // 1xxx: the request or document is invalid.
  kInvalidArgument = 1000,
  kMalformedBody = 1001,
  kUnknownModel = 1002,
  kUnknownRoute = 1003,
  kBodyTooLarge = 1004,
  kNotFound = 1005,
  kMethodNotAllowed = 1006,
  kInvalidSettings = 1007,
  kInvalidManifest = 1008,
  kConflict = 1009,
  kIdempotencyMismatch = 1010,
  // 2xxx: the caller is not permitted to make the request.
  kMissingKey = 2000,
  kInvalidKey = 2001,
  kRateLimited = 2002,
  kPoisonedRequest = 2003,
  // 3xxx: the system cannot serve the request at present.
  kOverloaded = 3000,
  kDraining = 3001,
  kNoUpstream = 3002,
  kStaleConfig = 3003,
  kStoreUnavailable = 3004,
  kPeerUnavailable = 3005,
  kDiskFull = 3006,
  kFenced = 3007,
  kNotOwner = 3008,
  kCorrupt = 3009,
  kTooFewCopies = 3010,
  kHistoryGone = 3011,
  // 4xxx: the request may have run.
  kUpstreamFailed = 4000,
  kDeadlineExceeded = 4001,
  kOutcomeUnknown = 4002,
  kCancelled = 4003,
  kStreamCut = 4004,
  // 5xxx: an internal error.
  kInternal = 5000,
};

struct ResultCodeInfo {
  ResultCode m_code;
  std::string_view m_name;  // snake_case, used in logs and error bodies
  int m_http_status;
  std::string_view m_type;  // the OpenAI error type
};

// Returns all codes in ascending order.
std::span<const ResultCodeInfo> AllResultCodes();

// Returns the entry of `code`, or that of kInternal if `code` is not listed.
const ResultCodeInfo& GetResultCodeInfo(ResultCode code);

}  // namespace bronzecross

#endif  // BRONZECROSS_BASE_RESULT_CODE_H_
