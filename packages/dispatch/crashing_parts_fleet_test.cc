// Plays a prompt part that crashes upstreams in a fleet of 67 VMs, whose groups
// of ten hear of each other by brief gossip only.

#include <doctest/doctest.h>

#include <deque>
#include <memory>
#include <vector>

#include "base/random.h"
#include "dispatch/crashing_part_tracker.h"

namespace bronzecross {
namespace {

constexpr Millis kStart{100'000};
constexpr Millis kStep{10};
constexpr Millis kContact{4'000};
constexpr Millis kFullInterval{100};
constexpr Millis kBriefInterval{804};
constexpr Millis kEarlyInterval{20};
constexpr Millis kLinkDelay{10};
constexpr Millis kUpdateInterval{100};
constexpr Millis kCrashAfter{40};
constexpr Millis kSoundTime{700};
constexpr size_t kVms = 67;
constexpr size_t kGroupSize = 10;
constexpr size_t kUpstreams = 57;
constexpr uint32_t kDeadlyPart = 7;
constexpr uint32_t kSharedFirstPart = 1'000;

struct FleetPlay {
  // Deadly requests that arrive evenly within m_burst_time.
  int m_burst = 10;
  Millis m_burst_time{1'000};
  // Time without deadly requests after the burst, and their rate after that.
  Millis m_pause{0};
  double m_rate_after = 10;
  double m_sound_per_s = 250;
  uint64_t m_first_parts = 4;
  int m_attempts = 2;
  double m_lost_gossip = 0.1;
  Millis m_length{20'000};
  // When the last VM starts, and whether it gets every tenth deadly request.
  Millis m_last_vm_starts{0};
  bool m_is_last_vm_hit = false;
};

struct FleetOutcome {
  int m_crashes = 0;
  Millis m_fifth_crash;
  // Deadly requests of VMs in touch that reached an upstream later than
  // kContact after the fifth crash.
  int m_late_deadly = 0;
  // Sound requests with the first part of the deadly ones later than twice
  // kContact after the fifth crash.
  int m_late_sound = 0;
  int m_late_sound_refused = 0;
  // Deadly requests that the last VM sent later than kContact after its start.
  int m_deadly_of_last_vm = 0;
};

class FleetPlayer {
 public:
  FleetPlayer(const FleetPlay& play, uint64_t seed)
      : m_play(play), m_random(seed), m_vms(kVms), m_up_at(kUpstreams) {
    for (size_t i = 0; i < kVms; ++i) {
      m_vms[i].m_started = i + 1 == kVms ? kStart + play.m_last_vm_starts
                                         : kStart - Millis(60'000);
      const int64_t offset = static_cast<int64_t>(RandomBelow(m_random, 10));
      m_vms[i].m_next_full = kStart + kStep * offset;
      m_vms[i].m_next_brief = kStart + kStep * offset * 8;
    }
  }

  FleetOutcome Run() {
    const Millis end = kStart + m_play.m_length;
    for (m_now = kStart; m_now < end; m_now += kStep) {
      Deliver();
      StartRequests();
      StepRequests();
      for (size_t i = 0; i < kVms; ++i) {
        if ((m_now - kStart).count() % kUpdateInterval.count() == 0 &&
            m_vms[i].m_tracker.Update(m_now)) {
          SendToAllSoon(m_vms[i]);
        }
        SendGossip(i);
      }
    }
    return m_outcome;
  }

 private:
  struct Vm {
    CrashingPartTracker m_tracker;
    Millis m_started;
    Millis m_next_full;
    Millis m_next_brief;
    Millis m_last_sent;
  };
  struct Running {
    size_t m_vm = 0;
    size_t m_upstream = 0;
    Millis m_began;
    std::vector<uint32_t> m_parts;
    bool m_is_deadly = false;
    int m_attempts_left = 0;
  };
  struct Datagram {
    Millis m_arrives;
    size_t m_to = 0;
    std::shared_ptr<const GossipMessage> m_message;
  };

  void SendToAllSoon(Vm& vm) {
    vm.m_next_brief = m_now;
    vm.m_next_full = std::max(m_now, vm.m_last_sent + kEarlyInterval);
  }

  void SendGossip(size_t from) {
    Vm& vm = m_vms[from];
    if (m_now < vm.m_started || m_now < vm.m_next_full) {
      return;
    }
    const bool is_brief_due = m_now >= vm.m_next_brief;
    vm.m_last_sent = m_now;
    vm.m_next_full = m_now + kFullInterval;
    vm.m_next_brief = is_brief_due ? m_now + kBriefInterval : vm.m_next_brief;
    const std::shared_ptr<GossipMessage> message =
        std::make_shared<GossipMessage>();
    vm.m_tracker.AddToGossip(*message, m_now);
    for (size_t to = 0; to < kVms; ++to) {
      const bool is_group = to / kGroupSize == from / kGroupSize;
      if (to != from && (is_group || is_brief_due) &&
          RandomUnit(m_random) >= m_play.m_lost_gossip) {
        m_datagrams.push_back({m_now + kLinkDelay, to, message});
      }
    }
  }

  void Deliver() {
    while (!m_datagrams.empty() && m_datagrams.front().m_arrives <= m_now) {
      const Datagram& datagram = m_datagrams.front();
      if (m_vms[datagram.m_to].m_started <= m_now) {
        m_vms[datagram.m_to].m_tracker.OnGossip(*datagram.m_message, m_now);
      }
      m_datagrams.pop_front();
    }
  }

  void StartRequests() {
    m_sound_due += m_play.m_sound_per_s * kStep.Seconds();
    for (; m_sound_due >= 1; m_sound_due -= 1) {
      Running request;
      request.m_parts = {
          kSharedFirstPart + static_cast<uint32_t>(
                                 RandomBelow(m_random, m_play.m_first_parts)),
          2'000 + static_cast<uint32_t>(RandomBelow(m_random, 700))};
      Start(std::move(request), false);
    }
    // The fleet has run for 3 s when the first deadly request arrives.
    const Millis burst_at = kStart + Millis(3'000);
    const Millis burst_end = burst_at + m_play.m_burst_time;
    if (m_now >= burst_at && m_now < burst_end) {
      m_deadly_due +=
          m_play.m_burst * kStep.Seconds() / m_play.m_burst_time.Seconds();
    } else if (m_now >= burst_end + m_play.m_pause) {
      m_deadly_due += m_play.m_rate_after * kStep.Seconds();
    }
    for (; m_deadly_due >= 0.999; m_deadly_due -= 1) {
      Running request;
      request.m_is_deadly = true;
      request.m_parts = {kSharedFirstPart, kDeadlyPart};
      ++m_deadly;
      Start(std::move(request), m_play.m_is_last_vm_hit && m_deadly % 10 == 0);
    }
  }

  void Start(Running request, bool at_last_vm) {
    do {
      request.m_vm = at_last_vm ? kVms - 1 : RandomBelow(m_random, kVms);
      if (m_vms[request.m_vm].m_started > m_now) {
        at_last_vm = false;
      }
    } while (m_vms[request.m_vm].m_started > m_now);
    const Vm& vm = m_vms[request.m_vm];
    const bool is_refused =
        vm.m_tracker.FindBlamedPart(request.m_parts).has_value();
    const bool has_fifth = m_outcome.m_crashes >= 5;
    const Millis since_fifth = m_now - m_outcome.m_fifth_crash;
    if (!request.m_is_deadly) {
      const bool is_counted = has_fifth && since_fifth > kContact * 2 &&
                              request.m_parts[0] == kSharedFirstPart;
      m_outcome.m_late_sound += is_counted ? 1 : 0;
      m_outcome.m_late_sound_refused += is_counted && is_refused ? 1 : 0;
    } else if (!is_refused && m_now - vm.m_started > kContact) {
      m_outcome.m_late_deadly += has_fifth && since_fifth > kContact ? 1 : 0;
      m_outcome.m_deadly_of_last_vm +=
          request.m_vm == kVms - 1 && has_fifth && since_fifth > kContact ? 1
                                                                          : 0;
    }
    if (!is_refused) {
      request.m_attempts_left = m_play.m_attempts;
      Send(std::move(request));
    }
  }

  void Send(Running request) {
    --request.m_attempts_left;
    request.m_began = m_now;
    for (int i = 0; i < 100; ++i) {
      request.m_upstream = RandomBelow(m_random, kUpstreams);
      if (m_up_at[request.m_upstream] <= m_now) {
        m_running.push_back(std::move(request));
        return;
      }
    }
  }

  void StepRequests() {
    std::vector<size_t> crashed;
    for (const Running& request : m_running) {
      if (request.m_is_deadly && m_now - request.m_began >= kCrashAfter) {
        crashed.push_back(request.m_upstream);
      }
    }
    for (const size_t upstream : crashed) {
      if (m_up_at[upstream] <= m_now) {
        Crash(upstream);
      }
    }
    std::erase_if(m_running, [this](const Running& request) {
      if (m_now - request.m_began < kSoundTime) {
        return false;
      }
      m_vms[request.m_vm].m_tracker.OnCompletion(request.m_parts, m_now);
      return true;
    });
  }

  void Crash(size_t upstream) {
    ++m_outcome.m_crashes;
    if (m_outcome.m_crashes == 5) {
      m_outcome.m_fifth_crash = m_now;
    }
    m_up_at[upstream] = m_now + Millis(3'000);
    std::vector<Running> retried;
    std::erase_if(m_running, [&](const Running& request) {
      if (request.m_upstream != upstream) {
        return false;
      }
      Vm& vm = m_vms[request.m_vm];
      if (m_now - request.m_began < Millis(100)) {
        vm.m_tracker.OnCrash(static_cast<uint32_t>(upstream), request.m_parts,
                             m_now);
        SendToAllSoon(vm);
      }
      if (request.m_attempts_left > 0 &&
          !vm.m_tracker.FindBlamedPart(request.m_parts)) {
        retried.push_back(request);
      }
      return true;
    });
    for (Running& request : retried) {
      Send(std::move(request));
    }
  }

  const FleetPlay m_play;
  Random m_random;
  std::vector<Vm> m_vms;
  std::vector<Millis> m_up_at;
  std::vector<Running> m_running;
  std::deque<Datagram> m_datagrams;
  double m_sound_due = 0;
  double m_deadly_due = 0;
  int m_deadly = 0;
  Millis m_now;
  FleetOutcome m_outcome;
};

void CheckFleet(const FleetPlay& play) {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    const FleetOutcome outcome = FleetPlayer(play, seed).Run();
    CAPTURE(seed);
    CAPTURE(outcome.m_crashes);
    CAPTURE((outcome.m_fifth_crash - kStart).count());
    CHECK(outcome.m_crashes >= 5);
    CHECK(outcome.m_late_deadly <= 3);
    CHECK(outcome.m_late_sound > 100);
    CHECK(outcome.m_late_sound_refused == 0);
    if (play.m_is_last_vm_hit) {
      CHECK(outcome.m_deadly_of_last_vm == 0);
    }
  }
}

TEST_CASE("67 VMs: ten crashes within a second") {
  CheckFleet(FleetPlay());
  FleetPlay shared;
  shared.m_first_parts = 1;
  CheckFleet(shared);
}

TEST_CASE("67 VMs: a part that crashes now and then") {
  FleetPlay play;
  play.m_burst = 0;
  for (const double rate : {0.7, 2.0, 40.0}) {
    play.m_rate_after = rate;
    play.m_length = Millis(25'000);
    CheckFleet(play);
  }
}

// Guards against crashes that are all counted as one moment, so that the part
// is not blamed when it comes back.
TEST_CASE("67 VMs: ten crashes in a short burst, and the part comes back") {
  for (const int64_t burst_ms : {1'000, 600, 200}) {
    for (const int64_t pause_ms : {1'000, 5'000}) {
      FleetPlay play;
      play.m_burst_time = Millis(burst_ms);
      play.m_pause = Millis(pause_ms);
      CAPTURE(burst_ms);
      CAPTURE(pause_ms);
      CheckFleet(play);
    }
  }
}

TEST_CASE("67 VMs: a VM that has just started gets the part") {
  for (const int64_t start_ms : {2'900, 3'500, 7'000, 10'000}) {
    FleetPlay play;
    play.m_last_vm_starts = Millis(start_ms);
    play.m_is_last_vm_hit = true;
    CAPTURE(start_ms);
    CheckFleet(play);
  }
}

// Guards against sound parts being blamed for crashes with another cause that
// strike again.
TEST_CASE(
    "a part that completed after a burst of crashes isn't blamed at once") {
  const std::vector<uint32_t> request = {11, 12};
  for (const bool completes : {true, false}) {
    CrashingPartTracker tracker;
    for (uint32_t i = 0; i < 8; ++i) {
      tracker.OnCrash(i, request, kStart + kStep * i);
    }
    if (completes) {
      tracker.OnCompletion(request, kStart + Millis(700));
    }
    tracker.Update(kStart + Millis(2'000));
    CHECK_FALSE(tracker.FindBlamedPart(request));
    const Millis again = kStart + Millis(5'000);
    tracker.OnCrash(9, request, again);
    tracker.Update(again + kStep);
    CHECK(tracker.FindBlamedPart(request).has_value() == !completes);
  }
}

}  // namespace
}  // namespace bronzecross
