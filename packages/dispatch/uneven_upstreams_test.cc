// Plays the load of a VM group at engines that share their machines with other
// work, with the delays of responses and of gossip.

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "base/text.h"
#include "dispatch/upstream.h"

namespace bronzecross {
namespace {

constexpr Millis kStart{100'000};
constexpr Millis kStep{10};
constexpr Millis kGossipInterval{100};
constexpr Millis kMinGossipInterval{20};
constexpr Millis kHeadDelay{20};
constexpr double kEventMs = 30;
constexpr int kSlots = 8;

struct UnevenPlay {
  int m_vms = 12;
  size_t m_engines = 48;
  double m_requests_per_s = 250;
  double m_events = 20;  // of a request
  double m_slow_share = 0.15;
  int m_slow_percent = 250;
  Millis m_period{600};
  bool m_streams = true;
  bool m_reports_load = true;
  bool m_reports_machine = true;
  // Age of the figures that are reported.
  Millis m_report_delay{0};
  Millis m_length{20'000};
};

struct UnevenOutcome {
  double m_mean_ms = 0;  // from the start of a request to its end
  int m_most_in_flight = 0;
  double m_share_on_slow = 0;  // of the requests
};

class UnevenPlayer {
 public:
  UnevenPlayer(const UnevenPlay& play, uint64_t seed)
      : m_play(play), m_random(seed), m_in_flight(play.m_engines) {
    for (int vm = 0; vm < play.m_vms; ++vm) {
      std::vector<UpstreamPtr>& upstreams = m_vms.emplace_back();
      for (size_t engine = 0; engine < play.m_engines; ++engine) {
        UpstreamEntry entry;
        entry.m_id = Concat("engine-", engine);
        entry.m_slots = kSlots;
        upstreams.push_back(std::make_shared<Upstream>(std::move(entry)));
      }
    }
  }

  UnevenOutcome Run() {
    for (m_now = kStart; m_now < kStart + m_play.m_length; m_now += kStep) {
      if ((m_now - kStart).count() % m_play.m_period.count() == 0) {
        ChooseSlow();
      }
      StartRequests();
      StepRequests();
      const bool is_regular =
          (m_now - kStart).count() % kGossipInterval.count() == 0;
      const bool may_be_early =
          (m_now - kStart).count() % kMinGossipInterval.count() == 0;
      if (is_regular || (m_send_soon && may_be_early)) {
        m_send_soon = false;
        SendGossip();
      }
    }
    m_outcome.m_mean_ms = m_total_ms / m_ended;
    m_outcome.m_share_on_slow = static_cast<double>(m_on_slow) / m_started;
    return m_outcome;
  }

 private:
  struct Running {
    size_t m_vm = 0;
    size_t m_engine = 0;
    Millis m_began;
    bool m_is_reported = false;
    double m_events = 0;
    PaceMeter m_meter;
  };

  void ChooseSlow() {
    m_percents.emplace_back(m_play.m_engines, 100);
    const size_t slow = static_cast<size_t>(
        m_play.m_slow_share * static_cast<double>(m_play.m_engines) + 0.5);
    for (size_t i = 0; i < slow;) {
      int& percent = m_percents.back()[RandomBelow(m_random, m_play.m_engines)];
      i += percent == 100 ? 1 : 0;
      percent = m_play.m_slow_percent;
    }
  }

  int PercentAt(size_t engine, Millis time) const {
    const Millis since = std::max(time, kStart) - kStart;
    const size_t period =
        static_cast<size_t>(since.count() / m_play.m_period.count());
    return m_percents[period][engine];
  }

  void StartRequests() {
    m_due += m_play.m_requests_per_s * kStep.Seconds();
    for (; m_due >= 1; m_due -= 1) {
      const size_t vm = RandomBelow(m_random, m_vms.size());
      const std::optional<size_t> choice =
          PickUpstream(GetLoads(m_vms[vm], "", m_now), m_random);
      if (!choice) {
        continue;
      }
      ++m_started;
      m_on_slow += PercentAt(*choice, m_now) > 100 ? 1 : 0;
      ++m_vms[vm][*choice]->m_online;
      ++m_in_flight[*choice];
      m_outcome.m_most_in_flight =
          std::max(m_outcome.m_most_in_flight, m_in_flight[*choice]);
      m_send_soon = m_send_soon ||
                    ShouldAnnounceLoad(m_vms[vm][*choice]->Online(), kSlots);
      m_running.push_back({vm, *choice, m_now});
    }
  }

  void Report(const Running& request) {
    if (!m_play.m_reports_load) {
      return;
    }
    platform::UpstreamReportedLoad load;
    load.m_running = m_in_flight[request.m_engine];
    load.m_slots = kSlots;
    if (m_play.m_reports_machine) {
      load.m_machine_percent =
          PercentAt(request.m_engine, m_now - m_play.m_report_delay);
    }
    RecordLoad(*m_vms[request.m_vm][request.m_engine], load, m_now);
  }

  void StepRequest(Running& request) {
    Upstream& upstream = *m_vms[request.m_vm][request.m_engine];
    const double before = request.m_events;
    request.m_events += static_cast<double>(kStep.count()) / kEventMs * 100 /
                        PercentAt(request.m_engine, m_now);
    if (!m_play.m_streams) {
      if (request.m_events >= m_play.m_events) {
        Report(request);
        const Millis time = m_now - request.m_began;
        RecordWorkTime(upstream.m_pace, static_cast<double>(time.count()),
                       m_now);
      }
      return;
    }
    if (!request.m_is_reported && m_now - request.m_began >= kHeadDelay) {
      request.m_is_reported = true;
      Report(request);
    }
    const int events =
        static_cast<int>(request.m_events) - static_cast<int>(before);
    const std::optional<double> event_ms =
        events == 0 ? std::nullopt
                    : MeasurePace(request.m_meter, events, m_now);
    if (event_ms) {
      RecordWorkTime(upstream.m_pace, *event_ms, m_now);
    }
  }

  void StepRequests() {
    for (Running& request : m_running) {
      StepRequest(request);
    }
    std::erase_if(m_running, [this](const Running& request) {
      if (request.m_events < m_play.m_events) {
        return false;
      }
      --m_vms[request.m_vm][request.m_engine]->m_online;
      --m_in_flight[request.m_engine];
      m_total_ms += static_cast<double>((m_now - request.m_began).count());
      ++m_ended;
      return true;
    });
  }

  void SendGossip() {
    for (std::vector<UpstreamPtr>& upstreams : m_vms) {
      for (const UpstreamPtr& upstream : upstreams) {
        upstream->m_peer_online = 0;
      }
    }
    for (size_t from = 0; from < m_vms.size(); ++from) {
      for (size_t engine = 0; engine < m_play.m_engines; ++engine) {
        const UpstreamUse use = MakeUse(*m_vms[from][engine], m_now);
        for (size_t to = 0; to < m_vms.size(); ++to) {
          if (to != from) {
            Receive(*m_vms[to][engine], use);
          }
        }
      }
    }
  }

  void Receive(Upstream& upstream, const UpstreamUse& use) {
    upstream.m_peer_online += use.m_online;
    if (use.m_work_ms > 0) {
      RecordPeerWorkTime(upstream.m_pace, use.m_work_ms, m_now);
    }
    if (use.m_machine_percent > 0) {
      RecordPeerMachine(upstream.m_report,
                        {use.m_machine_percent, m_now - use.m_machine_age});
    }
  }

  const UnevenPlay m_play;
  Random m_random;
  std::vector<std::vector<UpstreamPtr>> m_vms;
  std::vector<std::vector<int>> m_percents;  // of each period, by engine
  std::vector<int> m_in_flight;
  std::vector<Running> m_running;
  double m_due = 0;
  bool m_send_soon = false;
  Millis m_now;
  int m_started = 0;
  int m_on_slow = 0;
  int m_ended = 0;
  double m_total_ms = 0;
  UnevenOutcome m_outcome;
};

UnevenOutcome PlayUneven(UnevenPlay play, bool reports_machine) {
  play.m_reports_machine = reports_machine;
  UnevenOutcome mean;
  constexpr int kSeeds = 5;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const UnevenOutcome outcome = UnevenPlayer(play, seed).Run();
    mean.m_mean_ms += outcome.m_mean_ms / kSeeds;
    mean.m_share_on_slow += outcome.m_share_on_slow / kSeeds;
    mean.m_most_in_flight =
        std::max(mean.m_most_in_flight, outcome.m_most_in_flight);
  }
  return mean;
}

// Guards against reports that are read but change nothing. At the usual pace a
// request takes 60 ms.
TEST_CASE("short requests avoid machines that are slow at present") {
  for (const double rate : {120.0, 250.0, 450.0}) {
    UnevenPlay play;
    play.m_streams = false;
    play.m_events = 2;
    play.m_requests_per_s = rate;
    const UnevenOutcome without = PlayUneven(play, false);
    const UnevenOutcome with = PlayUneven(play, true);
    CHECK(with.m_mean_ms - 60 < 0.65 * (without.m_mean_ms - 60));
    CHECK(with.m_share_on_slow < 0.6 * without.m_share_on_slow);
    CHECK(with.m_most_in_flight <= without.m_most_in_flight + 2);
  }
}

// A stream lasts longer than the figure holds, so there is little to gain.
TEST_CASE("streams take no longer with reports") {
  for (const double rate : {120.0, 250.0, 450.0}) {
    UnevenPlay play;
    play.m_requests_per_s = rate;
    const UnevenOutcome without = PlayUneven(play, false);
    const UnevenOutcome with = PlayUneven(play, true);
    CHECK(with.m_mean_ms < without.m_mean_ms * 1.005);
    CHECK(with.m_most_in_flight <= without.m_most_in_flight + 2);
  }
}

// Guards against all VMs using the one engine that they take for the fastest.
TEST_CASE("an engine with the best report isn't overrun") {
  for (const double rate : {30.0, 60.0, 90.0}) {
    UnevenPlay play;
    play.m_engines = 8;
    play.m_vms = 10;
    play.m_requests_per_s = rate;
    play.m_slow_share = 0.875;
    play.m_period = play.m_length;
    const UnevenOutcome without = PlayUneven(play, false);
    const UnevenOutcome with = PlayUneven(play, true);
    CHECK(with.m_most_in_flight <= std::max(without.m_most_in_flight, kSlots));
    CHECK(with.m_mean_ms < without.m_mean_ms * 1.02);
  }
}

TEST_CASE("reports that are stale when they arrive do little harm") {
  UnevenPlay play;
  play.m_streams = false;
  play.m_events = 2;
  play.m_report_delay = Millis(1'200);
  const UnevenOutcome without = PlayUneven(play, false);
  const UnevenOutcome with = PlayUneven(play, true);
  CHECK(with.m_mean_ms < without.m_mean_ms * 1.03);
}

TEST_CASE("three figures change nothing in a fleet of one group") {
  UnevenPlay play;
  play.m_reports_machine = false;
  const UnevenOutcome three = UnevenPlayer(play, 1).Run();
  play.m_reports_load = false;
  const UnevenOutcome none = UnevenPlayer(play, 1).Run();
  CHECK(three.m_mean_ms == none.m_mean_ms);
  CHECK(three.m_share_on_slow == none.m_share_on_slow);
}

}  // namespace
}  // namespace bronzecross
