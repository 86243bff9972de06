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

}  // namespace
}  // namespace bronzecross
