#include <doctest/doctest.h>

#include "jobs/job_size.h"

namespace bronzecross {
namespace {

JobSpec MakeSpec(int items, size_t body_bytes) {
  JobSpec spec;
  spec.m_id = "job";
  spec.m_workspace = "ws";
  spec.m_route = "batch";
  spec.m_host = "h.test";
  spec.m_submitted = Millis(1'700'000'000'000);
  for (int i = 0; i < items; ++i) {
    JobItem item;
    item.m_id = "item";
    item.m_target = "/x";
    item.m_fields = {{"Model", "m"}, {"Token-Count", "10,20"}};
    item.m_body = std::string(body_bytes, 'b');
    item.m_tokens = 100'000'000'000;
    spec.m_items.push_back(std::move(item));
  }
  return spec;
}

TEST_CASE("the estimate of a job's size is never too small") {
  for (const int items : {0, 1, 20, 200}) {
    for (const size_t bytes : {0, 40, 300, 70'000}) {
      const JobSpec spec = MakeSpec(items, bytes);
      CHECK(EncodeJobSpec(spec).size() <= MaxEncodedSize(spec));
    }
  }
}

// Guards against a job that is written to the store for ever, since no value of
// the store can hold it (review case 8).
TEST_CASE("a job fits if its encoding does") {
  const JobSpec spec = MakeSpec(20, 300);
  const size_t bytes = EncodeJobSpec(spec).size();
  CHECK(CheckJobSize(spec, bytes));
  const Status rejected = CheckJobSize(spec, bytes - 1);
  REQUIRE_FALSE(rejected);
  CHECK(rejected.error().m_code == ResultCode::kBodyTooLarge);
  CHECK(rejected.error().m_run == RunState::kNotRun);
}

TEST_CASE("only a definite rejection of the write itself is final") {
  Error error;
  error.m_code = ResultCode::kBodyTooLarge;
  CHECK(IsRejectedForGood(error));
  error.m_code = ResultCode::kInvalidArgument;
  CHECK(IsRejectedForGood(error));
  error.m_run = RunState::kUnknown;
  CHECK_FALSE(IsRejectedForGood(error));
  for (const ResultCode code :
       {ResultCode::kStoreUnavailable, ResultCode::kMalformedBody,
        ResultCode::kNotFound, ResultCode::kCorrupt}) {
    error = Error();
    error.m_code = code;
    CHECK_FALSE(IsRejectedForGood(error));
  }
}

}  // namespace
}  // namespace bronzecross
