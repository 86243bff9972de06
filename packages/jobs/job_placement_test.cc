// Plays jobs that arrive unevenly at the VM groups of a large fleet.

#include "jobs/job_placement.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <vector>

#include "base/random.h"

namespace bronzecross {
namespace {

constexpr int kGroups = 8;
constexpr int kGroupsPerZone = 2;
constexpr int kSlots = 48;
constexpr int kItemsPerJob = 10;
constexpr double kJobsPerS = 2.7;
constexpr double kItemS = 5.2;
constexpr double kDueS = 18;
constexpr double kStepS = 0.1;
constexpr double kReportS = 0.8;
constexpr double kPlayedS = 200;

// Online requests leave a group fewer slots in the peaks of a load that steps.
int FreeSlots(double now) {
  const double phase = now - 5.2 * static_cast<int>(now / 5.2);
  return phase < 3.0 ? 40 : 9;
}

struct Item {
  double m_submitted = 0;
  double m_left = kItemS;
};

// Returns the share of items that are late.
double PlayJobs(bool is_moving, uint64_t seed) {
  Random random(seed);
  std::array<std::deque<Item>, kGroups> groups;
  std::array<double, kGroups> reported = {};
  int items = 0;
  int late = 0;
  double next_report = 0;
  for (double now = 0; now < kPlayedS; now += kStepS) {
    if (now >= next_report) {
      next_report = now + kReportS;
      for (size_t i = 0; i < kGroups; ++i) {
        reported[i] =
            ComputeBatchLoad(static_cast<int>(groups[i].size()), kSlots);
      }
    }
    if (RandomUnit(random) < kJobsPerS * kStepS) {
      // The first zone has a third more jobs than the others.
      size_t group = RandomBelow(random, kGroups + 1) % kGroups;
      std::vector<JobHostCandidate> candidates;
      std::vector<size_t> hosts;
      for (size_t i = 0; i < kGroups; ++i) {
        if (i != group) {
          candidates.push_back(
              {reported[i], i / kGroupsPerZone == group / kGroupsPerZone});
          hosts.push_back(i);
        }
      }
      const std::optional<size_t> host = ChooseJobHost(
          ComputeBatchLoad(static_cast<int>(groups[group].size()), kSlots),
          candidates);
      if (is_moving && host) {
        group = hosts[*host];
      }
      for (int i = 0; i < kItemsPerJob; ++i) {
        groups[group].push_back({now});
      }
    }
    for (std::deque<Item>& group : groups) {
      const size_t running =
          std::min(group.size(), static_cast<size_t>(FreeSlots(now)));
      for (size_t i = 0; i < running; ++i) {
        group[i].m_left -= kStepS;
      }
      const auto done =
          std::remove_if(group.begin(), group.end(), [&](const Item& item) {
            const bool is_done = item.m_left <= 0;
            items += is_done ? 1 : 0;
            late += is_done && now - item.m_submitted > kDueS ? 1 : 0;
            return is_done;
          });
      group.erase(done, group.end());
    }
  }
  return static_cast<double>(late) / items;
}

// Guards against items that are late in one group while slots of another one
// are free.
TEST_CASE("jobs that arrive unevenly are done in time in all groups") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    const double stays = PlayJobs(false, seed);
    const double moves = PlayJobs(true, seed);
    CAPTURE(stays);
    CAPTURE(moves);
    CHECK(moves <= stays);
    CHECK(moves < 0.01);
  }
}

// Guards against messages between VMs that gain nothing.
TEST_CASE("a job stays where its items run at once or nowhere is faster") {
  const std::vector<JobHostCandidate> idle = {{0.0, true}};
  CHECK(!ChooseJobHost(0.25, idle));
  const std::vector<JobHostCandidate> same = {{0.9, true}, {0.95, false}};
  CHECK(!ChooseJobHost(1.0, same));
  CHECK(!ChooseJobHost(1.0, {}));
}

TEST_CASE("a group of the same zone goes before one of another zone") {
  const std::vector<JobHostCandidate> candidates = {{0.2, false}, {0.25, true}};
  CHECK(ChooseJobHost(1.0, candidates) == 1);
}

}  // namespace
}  // namespace bronzecross
