#include "batch/job_record.h"

#include <doctest/doctest.h>

#include "batch/output_record.h"

namespace bronzecross {

TEST_CASE("a serialized job record is parsed back") {
  JobRecord job;
  job.m_id = "batch_1";
  job.m_state = JobState::kCancelling;
  job.m_epoch = 4;
  job.m_counts = {9, 5, 2};
  const Result<JobRecord> read = ParseJob(JobToJson(job).dump());
  REQUIRE(read.has_value());
  CHECK(read->m_state == JobState::kCancelling);
  CHECK(read->m_epoch == 4);
  CHECK(read->m_counts.m_failed == 2);
  CHECK_FALSE(ParseJob("{}").has_value());
  CHECK_FALSE(ParseJob("").has_value());
}

TEST_CASE("the batch object names output files only for ended jobs") {
  JobRecord job;
  job.m_id = "batch_1";
  CHECK(PublicBatch(job)["output_file_id"].is_null());
  job.m_state = JobState::kExpired;
  CHECK(PublicBatch(job)["output_file_id"] == "file-out-1");
  CHECK(PublicBatch(job)["error_file_id"] == "file-err-1");
  CHECK(PublicBatch(job).contains("expired_at"));
}

TEST_CASE("a completion window needs a unit and is bounded") {
  CHECK(*ParseCompletionWindow("24h") == Millis(86'400'000));
  CHECK(*ParseCompletionWindow("90s") == Millis(90'000));
  for (const char* text : {"", "h", "0s", "-1h", "24", "1d", "9999999999h"}) {
    CHECK_FALSE(ParseCompletionWindow(text).has_value());
  }
}

TEST_CASE("output records keep their line, malformed records are rejected") {
  const Result<OutputRecord> record =
      DecodeOutput(EncodeOutput({OutputKind::kFailure, 12, "a\nb\n"}));
  REQUIRE(record.has_value());
  CHECK(record->m_kind == OutputKind::kFailure);
  CHECK(record->m_index == 12);
  CHECK(record->m_line == "a\nb\n");
  for (const char* text : {"", "r", "r\n", "x1\n", "r1", "rx\n"}) {
    CHECK_FALSE(DecodeOutput(text).has_value());
  }
}

}  // namespace bronzecross
