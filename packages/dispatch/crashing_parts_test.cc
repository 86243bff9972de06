// Plays requests of a fleet whose upstreams crash, with gossip that is late or
// lost, and checks which parts are blamed.

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "base/random.h"
#include "dispatch/crashing_part_tracker.h"

namespace bronzecross {
namespace {

constexpr Millis kStart{100'000};
constexpr Millis kStep{10};
constexpr Millis kContact{3'000};
constexpr Millis kUpdateInterval{100};
constexpr uint32_t kDeadlyPart = 7;

struct Play {
  int m_vms = 6;
  int m_upstreams = 18;
  double m_requests_per_s = 85;
  uint64_t m_first_parts = 40;
  uint64_t m_second_parts = 700;
  double m_deadly_share = 0;
  Millis m_gossip_interval{100};
  double m_lost_gossip = 0.2;
  Millis m_length{26'000};
  // Crashes with another cause: every so often, this share of all upstreams.
  Millis m_wave_interval = kStart;
  double m_wave_share = 0.3;
  Millis m_wave_down{400};
};

struct RunningRequest {
  size_t m_vm = 0;
  size_t m_upstream = 0;
  Millis m_began;
  std::vector<uint32_t> m_parts;
  bool m_is_deadly = false;
};

struct Outcome {
  int m_crashes_by_part = 0;
  // Requests with the deadly part that began later than kContact after the
  // fifth crash.
  int m_late_deadly = 0;
  int m_sound = 0;
  int m_sound_refused = 0;
  size_t m_blamed_at_end = 0;  // over all VMs
};

class Player {
 public:
  Player(const Play& play, uint64_t seed)
      : m_play(play),
        m_random(seed),
        m_vms(play.m_vms),
        m_up_at(play.m_upstreams) {}

  Outcome Run() {
    for (m_now = kStart; m_now < kStart + m_play.m_length; m_now += kStep) {
      if ((m_now - kStart).count() % m_play.m_wave_interval.count() == 0 &&
          m_now > kStart) {
        CrashWave();
      }
      StartRequests();
      StepRequests();
      SendGossip();
      for (CrashingPartTracker& vm : m_vms) {
        if ((m_now - kStart).count() % kUpdateInterval.count() == 0) {
          vm.Update(m_now);
        }
      }
    }
    for (const CrashingPartTracker& vm : m_vms) {
      GossipMessage gossip;
      vm.AddToGossip(gossip, m_now);
      m_outcome.m_blamed_at_end += gossip.m_blamed_parts.size();
    }
    return m_outcome;
  }

 private:
  bool Chance(double share) { return RandomUnit(m_random) < share; }

  void StartRequests() {
    m_due += m_play.m_requests_per_s * kStep.Seconds();
    for (; m_due >= 1; m_due -= 1) {
      RunningRequest request;
      request.m_vm = RandomBelow(m_random, m_vms.size());
      request.m_upstream = RandomBelow(m_random, m_up_at.size());
      request.m_began = m_now;
      request.m_is_deadly =
          m_now > kStart + Millis(4'000) && Chance(m_play.m_deadly_share);
      const uint32_t first = 1'000 + static_cast<uint32_t>(RandomBelow(
                                         m_random, m_play.m_first_parts));
      const uint32_t second = 2'000 + static_cast<uint32_t>(RandomBelow(
                                          m_random, m_play.m_second_parts));
      request.m_parts = {first, request.m_is_deadly ? kDeadlyPart : second};
      const bool is_refused =
          m_vms[request.m_vm].FindBlamedPart(request.m_parts).has_value();
      m_outcome.m_sound += request.m_is_deadly ? 0 : 1;
      m_outcome.m_sound_refused += !request.m_is_deadly && is_refused ? 1 : 0;
      if (!is_refused && m_up_at[request.m_upstream] <= m_now) {
        const bool is_late = m_outcome.m_crashes_by_part >= 5 &&
                             m_now > m_fifth_crash + kContact;
        m_outcome.m_late_deadly += request.m_is_deadly && is_late ? 1 : 0;
        m_running.push_back(std::move(request));
      }
    }
  }

  void StepRequests() {
    std::vector<size_t> crashed;
    for (const RunningRequest& request : m_running) {
      if (request.m_is_deadly && m_now - request.m_began >= Millis(40)) {
        crashed.push_back(request.m_upstream);
      }
    }
    for (const size_t upstream : crashed) {
      if (m_up_at[upstream] <= m_now) {
        ++m_outcome.m_crashes_by_part;
        m_fifth_crash =
            m_outcome.m_crashes_by_part == 5 ? m_now : m_fifth_crash;
        Crash(upstream, Millis(3'000));
      }
    }
    for (size_t i = 0; i < m_running.size();) {
      if (m_now - m_running[i].m_began < Millis(1'000)) {
        ++i;
        continue;
      }
      m_vms[m_running[i].m_vm].OnCompletion(m_running[i].m_parts, m_now);
      m_running.erase(m_running.begin() + static_cast<ptrdiff_t>(i));
    }
  }

  void CrashWave() {
    for (size_t upstream = 0; upstream < m_up_at.size(); ++upstream) {
      if (m_up_at[upstream] <= m_now && Chance(m_play.m_wave_share)) {
        Crash(upstream, m_play.m_wave_down);
      }
    }
  }

  void Crash(size_t upstream, Millis down) {
    m_up_at[upstream] = m_now + down;
    std::erase_if(m_running, [&](const RunningRequest& request) {
      if (request.m_upstream != upstream) {
        return false;
      }
      // A request that has received several events isn't reported.
      if (m_now - request.m_began < Millis(100)) {
        m_vms[request.m_vm].OnCrash(static_cast<uint32_t>(upstream),
                                    request.m_parts, m_now);
      }
      return true;
    });
  }

  void SendGossip() {
    if ((m_now - kStart).count() % m_play.m_gossip_interval.count() != 0) {
      return;
    }
    for (size_t from = 0; from < m_vms.size(); ++from) {
      GossipMessage gossip;
      m_vms[from].AddToGossip(gossip, m_now);
      for (size_t to = 0; to < m_vms.size(); ++to) {
        if (to != from && !Chance(m_play.m_lost_gossip)) {
          m_vms[to].OnGossip(gossip, m_now);
        }
      }
    }
  }

  const Play m_play;
  Random m_random;
  std::vector<CrashingPartTracker> m_vms;
  std::vector<Millis> m_up_at;
  std::vector<RunningRequest> m_running;
  double m_due = 0;
  Millis m_now;
  Millis m_fifth_crash;
  Outcome m_outcome;
};

Play LargeFleet() {
  Play play;
  play.m_vms = 95;
  play.m_upstreams = 200;
  play.m_requests_per_s = 900;
  play.m_gossip_interval = Millis(1'140);
  return play;
}

void CheckDeadlyPart(Play play, uint64_t seed) {
  const Outcome outcome = Player(play, seed).Run();
  CHECK(outcome.m_crashes_by_part >= 5);
  CHECK(outcome.m_late_deadly <= 3);
  // Only the deadly part is blamed, by all VMs.
  CHECK(outcome.m_blamed_at_end == static_cast<size_t>(play.m_vms));
  CHECK(outcome.m_sound_refused * 50 < outcome.m_sound);
}

TEST_CASE("a part that crashes each upstream is soon refused by all VMs") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    for (const double share : {0.02, 0.05, 0.3}) {
      Play play;
      play.m_deadly_share = share;
      CheckDeadlyPart(play, seed);
    }
  }
  for (const double share : {0.005, 0.05}) {
    Play play = LargeFleet();
    play.m_deadly_share = share;
    play.m_length = Millis(14'000);
    CheckDeadlyPart(play, 1);
  }
}

TEST_CASE("a part that crashes upstreams is told from one that all share") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    Play play;
    play.m_first_parts = 1;
    play.m_deadly_share = 0.1;
    CheckDeadlyPart(play, seed);
  }
}

TEST_CASE("most gossip lost: the part is still refused in time") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    Play play;
    play.m_deadly_share = 0.05;
    play.m_lost_gossip = 0.8;
    CheckDeadlyPart(play, seed);
  }
}

TEST_CASE("crashes with other causes refuse no sound request for long") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    for (const uint64_t first_parts : {1, 4, 40}) {
      Play play;
      play.m_first_parts = first_parts;
      play.m_wave_interval = Millis(400);
      const Outcome outcome = Player(play, seed).Run();
      CHECK(outcome.m_blamed_at_end == 0);
      CHECK(outcome.m_sound_refused * 200 < outcome.m_sound);
    }
  }
  Play play = LargeFleet();
  play.m_first_parts = 4;
  play.m_wave_interval = Millis(400);
  play.m_length = Millis(10'000);
  const Outcome outcome = Player(play, 1).Run();
  CHECK(outcome.m_blamed_at_end == 0);
  CHECK(outcome.m_sound_refused * 200 < outcome.m_sound);
}

TEST_CASE("a part blamed by a peer is cleared by one that saw it complete") {
  const std::vector<uint32_t> request = {11, 12};
  CrashingPartTracker blames;
  CrashingPartTracker knows;
  for (int i = 0; i < 6; ++i) {
    blames.OnCrash(static_cast<uint32_t>(i), request, kStart + Millis(500) * i);
  }
  const Millis now = kStart + Millis(4'000);
  blames.Update(now);
  REQUIRE(blames.FindBlamedPart(request));
  knows.OnCompletion(request, now);
  GossipMessage blame;
  blames.AddToGossip(blame, now + Millis(10));
  knows.OnGossip(blame, now + Millis(10));
  CHECK_FALSE(knows.FindBlamedPart(request));
  GossipMessage reply;
  knows.AddToGossip(reply, now + Millis(20));
  blames.OnGossip(reply, now + Millis(20));
  CHECK_FALSE(blames.FindBlamedPart(request));
}

}  // namespace
}  // namespace bronzecross
