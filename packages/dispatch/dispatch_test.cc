#include <doctest/doctest.h>

#include <algorithm>

#include "dispatch/event_splitter.h"
#include "dispatch/near_upstreams.h"
#include "dispatch/pick_upstream.h"
#include "dispatch/queue_order.h"
#include "dispatch/upstream_health.h"

namespace bronzecross {
namespace {

UpstreamLoad Load(int online, int batch, double work_ms = 30) {
  UpstreamLoad load;
  load.m_slots = 8;
  load.m_online = online;
  load.m_batch = batch;
  load.m_work_ms = work_ms;
  load.m_same_zone = true;
  return load;
}

TEST_CASE("requests go where a slot is free, and nowhere if none is") {
  Random random(1);
  const std::vector<UpstreamLoad> loads = {Load(8, 0), Load(7, 0), Load(8, 0)};
  CHECK(PickUpstream(loads, random) == 1);
  const std::vector<UpstreamLoad> full = {Load(8, 0), Load(9, 0)};
  CHECK(PickUpstream(full, random) == std::nullopt);
  CHECK(PickUpstream({}, random) == std::nullopt);
}

TEST_CASE("batch work makes room before online requests wait") {
  Random random(1);
  const std::vector<UpstreamLoad> loads = {Load(8, 0), Load(2, 6)};
  CHECK(PickUpstream(loads, random) == 1);
  // A free slot elsewhere is better than taking one.
  const std::vector<UpstreamLoad> mixed = {Load(2, 6), Load(3, 2)};
  CHECK(PickUpstream(mixed, random) == 1);
}

TEST_CASE("items that must not stand aside keep at most half of an upstream") {
  Random random(1);
  std::vector<UpstreamLoad> loads = {Load(4, 4)};
  loads[0].m_urgent = 4;
  CHECK(PickUpstream(loads, random) == std::nullopt);
  loads[0] = Load(2, 6);
  loads[0].m_urgent = 6;
  CHECK(PickUpstream(loads, random) == 0);
}

TEST_CASE("slow and unusable upstreams get less") {
  Random random(1);
  int slow = 0;
  for (int i = 0; i < 1'000; ++i) {
    const std::vector<UpstreamLoad> loads = {Load(2, 0, 60), Load(2, 0, 25)};
    slow += PickUpstream(loads, random) == 0 ? 1 : 0;
  }
  CHECK(slow == 0);
  std::vector<UpstreamLoad> loads = {Load(0, 0), Load(7, 0)};
  loads[0].m_usable = false;
  CHECK(PickUpstream(loads, random) == 1);
}

TEST_CASE("VMs with the same news don't all choose alike") {
  Random random(1);
  std::vector<int> counts(4, 0);
  for (int i = 0; i < 1'000; ++i) {
    const std::vector<UpstreamLoad> loads(4, Load(2, 0));
    ++counts[*PickUpstream(loads, random)];
  }
  for (const int count : counts) {
    CHECK(count > 150);
  }
}

// Six VMs place a jump of the load at ten upstreams of eight slots. Each hears
// of the others' requests at its next news only. Returns the requests that went
// to an upstream without a free slot.
int OverfilledByJump(bool tell_at_once) {
  constexpr int kVms = 6;
  constexpr int kUpstreams = 10;
  constexpr int kSlots = 8;
  constexpr int kRequests = 78;  // within a second, nearly all slots
  constexpr int kNewsEvery = 8;  // arrivals in the time of one round of news
  constexpr int kNewsSoon = 2;   // the same, for news sent at once
  Random random(7);
  std::vector<int> actual(kUpstreams, 0);
  std::vector<std::vector<int>> known(kVms, actual);
  int overfilled = 0;
  int next_news = kNewsEvery;
  for (int i = 0; i < kRequests; ++i) {
    const size_t vm = RandomBelow(random, kVms);
    std::vector<UpstreamLoad> loads;
    for (int upstream = 0; upstream < kUpstreams; ++upstream) {
      loads.push_back(Load(known[vm][upstream], 0));
    }
    const std::optional<size_t> choice = PickUpstream(loads, random);
    if (!choice) {
      continue;
    }
    overfilled += actual[*choice] >= kSlots ? 1 : 0;
    ++actual[*choice];
    ++known[vm][*choice];
    if (tell_at_once && IsWorthTelling(known[vm][*choice], kSlots)) {
      next_news = std::min(next_news, i + kNewsSoon);
    }
    if (i >= next_news) {
      known.assign(kVms, actual);
      next_news = i + kNewsEvery;
    }
  }
  return overfilled;
}

TEST_CASE(
    "telling of nearly full upstreams keeps a jump from overfilling them") {
  const int late = OverfilledByJump(false);
  const int at_once = OverfilledByJump(true);
  CHECK(at_once < late);
}

TEST_CASE("who can be on time goes first, the most urgent before others") {
  const Millis now(1'000);
  const QueuedRequest urgent{0, Millis(1'050), Millis(5'000)};
  const QueuedRequest later{0, Millis(1'200), Millis(5'000)};
  const QueuedRequest late{0, Millis(900), Millis(5'000)};
  const QueuedRequest very_late{0, Millis(100), Millis(2'000)};
  const QueuedRequest minor{1, Millis(1'010), Millis(5'000)};
  CHECK(GoesBefore(urgent, later, now));
  CHECK(GoesBefore(later, late, now));
  CHECK(GoesBefore(late, very_late, now));
  CHECK(GoesBefore(very_late, minor, now));
  CHECK_FALSE(GoesBefore(minor, very_late, now));
}

TEST_CASE("what can't be served in time is refused at once with advice") {
  QueueState state;
  state.m_waiting = 100;
  state.m_slots = 10;
  state.m_service_ms = 800;
  const Millis wait = ExpectedWait(state);
  CHECK(wait == Millis(8'000));
  CHECK(ShouldRefuse(wait, Millis(5'000), Millis(800)));
  CHECK_FALSE(ShouldRefuse(Millis(100), Millis(5'000), Millis(800)));
  CHECK(RetryAfter(wait) > Millis());
  CHECK(RetryAfter(wait) < Millis(5'000));
  state.m_slots = 0;
  CHECK(ExpectedWait(state) > Millis());
}

TEST_CASE("where no upstream takes requests, callers are refused promptly") {
  QueueState state;
  CHECK(LongestWait(state, Millis(5'000), Millis(300)) == Millis(75));
  state.m_slots = 8;
  CHECK(LongestWait(state, Millis(5'000), Millis(300)) == Millis(5'000));
}

TEST_CASE("an upstream that fails repeatedly is left out, longer each time") {
  UpstreamHealth health;
  Millis now(1'000);
  NoteFailure(health, now);
  CHECK(IsHealthy(health, kSilencePatience, now));
  NoteFailure(health, now);
  CHECK_FALSE(IsHealthy(health, kSilencePatience, now));
  const Millis first = health.m_closed_until - now;
  NoteFailure(health, now);
  CHECK(health.m_closed_until - now > first);
  for (int i = 0; i < 50; ++i) {
    NoteFailure(health, now);
  }
  CHECK(health.m_closed_until - now <= Millis(2'000));
  NoteSuccess(health);
  CHECK(IsHealthy(health, kSilencePatience, now));
}

TEST_CASE("a silent upstream gets nothing more until it speaks") {
  UpstreamHealth health;
  health.m_silent.insert(Millis(1'000));
  CHECK(IsHealthy(health, kSilencePatience, Millis(1'100)));
  CHECK_FALSE(
      IsHealthy(health, kSilencePatience, Millis(1'000) + kSilencePatience));
  health.m_silent.clear();
  CHECK(IsHealthy(health, kSilencePatience, Millis(9'000)));
}

TEST_CASE("events are found in pieces of any size") {
  const std::string bytes =
      "id: 1\ndata: a\ndata: b\n\nweight-versions: 2\nid:2\ndata:c\n\n"
      "id: 3\r\ndata: d\r\n\r\nid: 4\nda";
  for (size_t step = 1; step < bytes.size(); ++step) {
    EventSplitter splitter;
    std::vector<std::string> data;
    std::vector<int64_t> ids;
    std::string passed;
    for (size_t at = 0; at < bytes.size(); at += step) {
      splitter.Feed(std::string_view(bytes).substr(at, step));
      StreamEvent event;
      while (splitter.Next(event)) {
        data.push_back(event.m_data);
        ids.push_back(event.m_id);
        passed += event.m_bytes;
      }
    }
    CHECK(data == std::vector<std::string>{"a\nb", "c", "d"});
    CHECK(ids == std::vector<int64_t>{1, 2, 3});
    CHECK(passed + std::string(splitter.Rest()) == bytes);
  }
}

// Guards against cells that all fill the same upstreams, and against upstreams
// that no cell uses.
TEST_CASE("the cells of a zone divide its upstreams") {
  std::vector<UpstreamPlace> places;
  for (uint32_t i = 0; i < 24; ++i) {
    places.push_back({i * 7'919, i % 2 == 0 ? "a" : "b"});
  }
  VmGroup cell;
  CHECK(FindNearUpstreams(places, cell, "a") == std::vector<bool>(24, true));
  cell.m_is_whole_fleet = false;
  cell.m_count = 3;
  std::vector<int> users(24, 0);
  for (cell.m_index = 0; cell.m_index < 3; ++cell.m_index) {
    const std::vector<bool> near = FindNearUpstreams(places, cell, "a");
    for (size_t i = 0; i < near.size(); ++i) {
      users[i] += near[i] ? 1 : 0;
    }
  }
  for (size_t i = 0; i < users.size(); ++i) {
    CHECK(users[i] == (i % 2 == 0 ? 1 : 0));
  }
  cell.m_index = 0;
  // Too few to divide, and none in the zone.
  places.resize(4);
  CHECK(FindNearUpstreams(places, cell, "a") ==
        std::vector<bool>{true, false, true, false});
  CHECK(FindNearUpstreams(places, cell, "c") == std::vector<bool>(4, true));
}

}  // namespace
}  // namespace bronzecross
