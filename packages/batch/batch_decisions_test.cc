// Tests the decisions of batch dispatch: upstream capacity, preemption, job
// selection, takeover and the deadline forecast.

#include <doctest/doctest.h>

#include "batch/deadline_forecast.h"
#include "batch/job_takeover.h"
#include "batch/next_job.h"
#include "batch/upstream_capacity.h"

namespace bronzecross {

TEST_CASE("batch capacity is the number of slots that all other load leaves") {
  CapacityInput input;
  input.m_slots = 16;
  input.m_reserved_slots = 2;
  CHECK(BatchCapacity(input) == 14);
  input.m_online = 5;
  input.m_own_batch = 3;
  input.m_peers_batch = 1;
  CHECK(BatchCapacity(input) == 5);
  input.m_unattributed = 2;
  CHECK(BatchCapacity(input) == 3);
  input.m_fill_target = 0.5;
  CHECK(BatchCapacity(input) == -3);
}

// Guards against a limit that goes below zero and asks for more cancellations
// than there are items, and against upstreams that never run batch items.
TEST_CASE("an online burst leaves no capacity, an idle single slot is used") {
  CapacityInput input;
  input.m_slots = 8;
  input.m_reserved_slots = 1;
  input.m_online = 40;
  input.m_own_batch = 6;
  CHECK(BatchCapacity(input) == -6);
  CapacityInput single;
  single.m_slots = 1;
  single.m_reserved_slots = 1;
  CHECK(BatchCapacity(single) == 1);
  single.m_online = 1;
  CHECK(BatchCapacity(single) == 0);
}

TEST_CASE("the youngest items are preempted") {
  const RunningItem items[] = {
      {1, Millis(100)}, {2, Millis(300)}, {3, Millis(200)}, {4, Millis(300)}};
  CHECK(SelectItemsToPreempt(items, 2) == std::vector<uint64_t>{4, 2});
  CHECK(SelectItemsToPreempt(items, 0).empty());
  CHECK(SelectItemsToPreempt(items, 9).size() == 4);
}

TEST_CASE("a workspace with many jobs does not starve another one") {
  const JobCandidate candidates[] = {
      {"a1", "a", Millis(10), 100, 8},
      {"a2", "a", Millis(20), 100, 8},
      {"b1", "b", Millis(900), 100, 2},
      {"b2", "b", Millis(800), 0, 2},
  };
  CHECK(ChooseNextJob(candidates) == 2);
  CHECK(ChooseNextJob(std::span(candidates).first(2)) == 0);
  CHECK_FALSE(ChooseNextJob(std::span(candidates).subspan(3)).has_value());
}

TEST_CASE("a job is taken over only when its owner is gone") {
  OwnerStatus status;
  status.m_has_record = true;
  status.m_recently_seen = true;
  status.m_announces = true;
  CHECK(DecideOwnerAction(status) == OwnerAction::kNone);
  // During a store outage leases expire although their holders are live.
  status.m_has_record = false;
  CHECK(DecideOwnerAction(status) == OwnerAction::kNone);
  status.m_condition_age = kRecordGracePeriod;
  CHECK(DecideOwnerAction(status) == OwnerAction::kTakeOver);
  status.m_condition_age = Millis(0);
  status.m_recently_seen = false;
  CHECK(DecideOwnerAction(status) == OwnerAction::kTakeOver);
  // An owner whose VM record still exists keeps the job until its lease ends.
  status.m_has_record = true;
  CHECK(DecideOwnerAction(status) == OwnerAction::kNone);
  // A restarted VM has no state of its earlier jobs.
  status.m_has_record = false;
  status.m_restarted = true;
  CHECK(DecideOwnerAction(status) == OwnerAction::kTakeOver);
}

TEST_CASE(
    "a live owner that missed a job or a cancellation checks the record") {
  OwnerStatus status;
  status.m_has_record = true;
  status.m_recently_seen = true;
  CHECK(DecideOwnerAction(status) == OwnerAction::kNone);
  status.m_condition_age = kAnnounceGracePeriod;
  CHECK(DecideOwnerAction(status) == OwnerAction::kCheckRecord);
  status.m_condition_age = Millis(0);
  status.m_announces = true;
  status.m_misses_cancel = true;
  CHECK(DecideOwnerAction(status) == OwnerAction::kCheckRecord);
}

TEST_CASE("lateness is predicted from the recent rate") {
  // 100 items in 10 s: 1000 more need 100 s.
  CHECK(ForecastJob({1000, 100, Millis(10'000), Millis(99'000)}).m_late);
  const Forecast in_time =
      ForecastJob({1000, 100, Millis(10'000), Millis(101'000)});
  CHECK_FALSE(in_time.m_late);
  CHECK(in_time.m_expected_remaining == Millis(100'000));
  CHECK_FALSE(ForecastJob({0, 0, Millis(10'000), Millis(1)}).m_late);
  // Too early for a forecast.
  CHECK_FALSE(ForecastJob({1000, 1, Millis(1000), Millis(60'000)}).m_late);
  // No progress at all and little time left.
  CHECK(ForecastJob({10, 0, Millis(30'000), Millis(20'000)}).m_late);
}

}  // namespace bronzecross
