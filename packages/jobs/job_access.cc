#include "jobs/job_access.h"

namespace bronzecross {

Status CheckJobAccess(std::string_view owner, std::string_view caller) {
  if (owner.empty() || owner == caller) {
    return {};
  }
  if (caller.empty()) {
    return Fail(ResultCode::kMissingKey, "the job can't be used without a key");
  }
  return Fail(ResultCode::kNotFound, "no such job in this workspace");
}

}  // namespace bronzecross
