#include <doctest/doctest.h>

#include "jobs/job_access.h"

namespace bronzecross {
namespace {

ResultCode CodeOf(std::string_view owner, std::string_view caller) {
  const Status access = CheckJobAccess(owner, caller);
  return access ? ResultCode::kOk : access.error().m_code;
}

TEST_CASE("a job can be used by its workspace only") {
  CHECK(CodeOf("a", "a") == ResultCode::kOk);
  CHECK(CodeOf("a", "b") == ResultCode::kNotFound);
  CHECK(CodeOf("a", "") == ResultCode::kMissingKey);
}

TEST_CASE("a job that was accepted without a key can be used by its id") {
  CHECK(CodeOf("", "") == ResultCode::kOk);
  CHECK(CodeOf("", "a") == ResultCode::kOk);
}

}  // namespace
}  // namespace bronzecross
