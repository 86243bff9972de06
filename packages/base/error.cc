#include "base/error.h"

namespace bronzecross {

std::string_view RunStateName(RunState state) {
  return state == RunState::kNotRun ? "not_run" : "unknown";
}

tl::unexpected<Error> Fail(ResultCode code, std::string_view message) {
  return tl::unexpected<Error>(
      Error{code, std::string(message), RunState::kNotRun, Millis(0)});
}

tl::unexpected<Error> FailMayHaveRun(ResultCode code,
                                     std::string_view message) {
  return tl::unexpected<Error>(
      Error{code, std::string(message), RunState::kUnknown, Millis(0)});
}

}  // namespace bronzecross
