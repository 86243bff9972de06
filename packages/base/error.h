// The error type of functions that can fail, and Result<T>.

#ifndef BRONZECROSS_BASE_ERROR_H_
#define BRONZECROSS_BASE_ERROR_H_

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "base/clock.h"
#include "base/result_code.h"

namespace bronzecross {

// Whether a rejected or failed request ran on an upstream.
enum class RunState {
  kNotRun,   // no byte of the request was sent to an upstream
  kUnknown,  // it may have run
};

std::string_view RunStateName(RunState state);

struct Error {
  ResultCode m_code = ResultCode::kInternal;
  std::string m_message;
  RunState m_run = RunState::kNotRun;
  Millis m_retry_after;  // delay before a retry; zero if unspecified
};

template <typename T>
using Result = tl::expected<T, Error>;
using Status = tl::expected<void, Error>;

// Returns an error for a request that did not run.
tl::unexpected<Error> Fail(ResultCode code, std::string_view message);

// Returns an error for a request that may have run.
tl::unexpected<Error> FailMayHaveRun(ResultCode code, std::string_view message);

}  // namespace bronzecross

#endif  // BRONZECROSS_BASE_ERROR_H_
