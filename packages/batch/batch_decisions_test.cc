// The decisions of the batch part: room, giving way, which job next, takeover,
// the deadline forecast.

#include <doctest/doctest.h>

#include "batch/deadline_forecast.h"
#include "batch/job_takeover.h"
#include "batch/next_job.h"
#include "batch/upstream_room.h"

namespace bronzecross {

TEST_CASE("batch fills what online leaves, counting every source") {
  RoomView view;
  view.m_slots = 16;
  view.m_reserve = 2;
  CHECK(BatchRoom(view) == 14);
  view.m_online = 5;
  view.m_own_batch = 3;
  view.m_peers_batch = 1;
  CHECK(BatchRoom(view) == 5);
  view.m_hidden = 2;
  CHECK(BatchRoom(view) == 3);
  view.m_fill_target = 0.5;
  CHECK(BatchRoom(view) == -3);
}

// Guards against a bound that goes below zero and asks for more cancellations
// than there are items, and against upstreams that batch never uses.
TEST_CASE("an online burst leaves no room, an idle single slot is used") {
  RoomView view;
  view.m_slots = 8;
  view.m_reserve = 1;
  view.m_online = 40;
  view.m_own_batch = 6;
  CHECK(BatchRoom(view) == -6);
  RoomView single;
  single.m_slots = 1;
  single.m_reserve = 1;
  CHECK(BatchRoom(single) == 1);
  single.m_online = 1;
  CHECK(BatchRoom(single) == 0);
}

TEST_CASE("the youngest items give way") {
  const RunningItem items[] = {
      {1, Millis(100)}, {2, Millis(300)}, {3, Millis(200)}, {4, Millis(300)}};
  CHECK(ItemsToCancel(items, 2) == std::vector<uint64_t>{4, 2});
  CHECK(ItemsToCancel(items, 0).empty());
  CHECK(ItemsToCancel(items, 9).size() == 4);
}

TEST_CASE("a workspace with many jobs does not push another one aside") {
  const JobOffer offers[] = {
      {"a1", "a", Millis(10), 100, 8},
      {"a2", "a", Millis(20), 100, 8},
      {"b1", "b", Millis(900), 100, 2},
      {"b2", "b", Millis(800), 0, 2},
  };
  CHECK(ChooseNextJob(offers) == 2);
  CHECK(ChooseNextJob(std::span(offers).first(2)) == 0);
  CHECK_FALSE(ChooseNextJob(std::span(offers).subspan(3)).has_value());
}

TEST_CASE("a job is taken over only when its owner is gone") {
  OwnerView view;
  view.m_has_record = true;
  view.m_heard = true;
  view.m_announces = true;
  CHECK(JudgeOwner(view) == OwnerAction::kNone);
  // A store outage lets leases lapse while their holders live.
  view.m_has_record = false;
  CHECK(JudgeOwner(view) == OwnerAction::kNone);
  view.m_since = kRecordGrace;
  CHECK(JudgeOwner(view) == OwnerAction::kTakeOver);
  view.m_since = Millis(0);
  view.m_heard = false;
  CHECK(JudgeOwner(view) == OwnerAction::kTakeOver);
  // A record that still stands keeps the job until the lease ends.
  view.m_has_record = true;
  CHECK(JudgeOwner(view) == OwnerAction::kNone);
  // A VM that restarted knows nothing of its jobs.
  view.m_has_record = false;
  view.m_restarted = true;
  CHECK(JudgeOwner(view) == OwnerAction::kTakeOver);
}

TEST_CASE("a living owner is reminded of what it missed") {
  OwnerView view;
  view.m_has_record = true;
  view.m_heard = true;
  CHECK(JudgeOwner(view) == OwnerAction::kNone);
  view.m_since = kAnnounceGrace;
  CHECK(JudgeOwner(view) == OwnerAction::kRemind);
  view.m_since = Millis(0);
  view.m_announces = true;
  view.m_misses_cancel = true;
  CHECK(JudgeOwner(view) == OwnerAction::kRemind);
}

TEST_CASE("lateness is forecast from the recent rate") {
  // 100 items in 10 s: 1000 more need 100 s.
  CHECK(ForecastJob({1000, 100, Millis(10'000), Millis(99'000)}).m_late);
  const Forecast in_time =
      ForecastJob({1000, 100, Millis(10'000), Millis(101'000)});
  CHECK_FALSE(in_time.m_late);
  CHECK(in_time.m_expected == Millis(100'000));
  CHECK_FALSE(ForecastJob({0, 0, Millis(10'000), Millis(1)}).m_late);
  // Too early to tell.
  CHECK_FALSE(ForecastJob({1000, 1, Millis(1000), Millis(60'000)}).m_late);
  // No progress at all and little time left.
  CHECK(ForecastJob({10, 0, Millis(30'000), Millis(20'000)}).m_late);
}

}  // namespace bronzecross
