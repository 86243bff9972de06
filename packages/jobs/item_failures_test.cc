#include <doctest/doctest.h>

#include "jobs/job.h"

namespace bronzecross {
namespace {

JobSpec MakeSpec() {
  JobSpec spec;
  spec.m_id = "job";
  for (const char* id : {"i0", "i1"}) {
    JobItem item;
    item.m_id = id;
    item.m_target = "/x";
    spec.m_items.push_back(std::move(item));
  }
  return spec;
}

// Guards against an item that fails at each run and whose failed attempts count
// from zero after each hand-over.
TEST_CASE("failed attempts of an earlier owner are restored") {
  const JobPtr job =
      MakeJob(MakeSpec(), BatchJobState(), 1, std::vector<JobResult>());
  job->m_progress[0].m_failures = 2;
  job->m_progress[1].m_failures = 1;
  job->m_progress[1].m_last_event = 3;
  job->m_progress[1].m_output = "longer than allowed";
  CHECK(CountFailures(*job) == 3);
  const std::optional<std::vector<PartialOutput>> saved =
      DecodePartial(EncodePartial(CollectPartial(*job, 4)));
  REQUIRE(saved);
  CHECK(saved->size() == 2);
  const JobPtr next =
      MakeJob(MakeSpec(), BatchJobState(), 1, std::vector<JobResult>());
  ApplyPartial(*next, *saved);
  CHECK(next->m_progress[0].m_failures == 2);
  CHECK(next->m_progress[0].m_last_event == -1);
  CHECK_FALSE(next->m_progress[0].m_has_output);
  CHECK(next->m_progress[1].m_failures == 1);
  CHECK(next->m_progress[1].m_last_event == -1);
  CHECK(next->m_saved_failures == 3);
}

// Guards against items that are given up, and results that are removed, early
// because the wall clock of their VM was set.
TEST_CASE("the times of a job go on when the wall clock is set") {
  JobSpec spec = MakeSpec();
  spec.m_submitted = WallNow() - Millis(10'000);
  spec.m_retained_until = spec.m_submitted + Millis(60'000);
  const Millis boot_now = BootNow();
  const JobPtr job =
      MakeJob(std::move(spec), BatchJobState(), 1, std::vector<JobResult>());
  // Nothing of this depends on what the wall clock says from now on.
  CHECK(RetentionLeft(*job, boot_now + Millis(20'000)) > Millis(29'000));
  CHECK(RetentionLeft(*job, boot_now + Millis(20'000)) < Millis(31'000));
  CHECK(RetentionLeft(*job, boot_now + Millis(52'000)) < Millis());
  CHECK(AgeOf(*job, boot_now + Millis(20'000)) > Millis(29'000));
  CHECK(AgeOf(*job, boot_now + Millis(20'000)) < Millis(31'000));
}

}  // namespace
}  // namespace bronzecross
