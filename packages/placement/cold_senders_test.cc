// Simulates fleets that send to cold upstreams, without a network.

#include "placement/cold_senders.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <initializer_list>
#include <set>
#include <string>

#include "base/text.h"

namespace bronzecross {
namespace {

constexpr ColdLimits kLimits{Millis(10'000), 22};
constexpr Millis kWindow{1'000};

struct SimVm {
  std::string m_id;
  std::string m_zone;
};

std::vector<SimVm> MakeFleet(int vms, int zones) {
  std::vector<SimVm> fleet;
  for (int i = 0; i < vms; ++i) {
    fleet.push_back({Concat("vm-", i), Concat("zone-", i % zones)});
  }
  return fleet;
}

std::vector<SenderCandidate> View(const std::vector<SimVm>& fleet,
                                  const std::set<std::string>& missing) {
  std::vector<SenderCandidate> view;
  for (const SimVm& vm : fleet) {
    if (!missing.contains(vm.m_id)) {
      view.push_back({vm.m_id, vm.m_zone});
    }
  }
  return view;
}

TEST_CASE("the rates of the senders and two more stay within the bound") {
  for (int vms = 1; vms <= 70; ++vms) {
    for (double bound = 0; bound < 400; bound += 0.5) {
      const ColdSendPlan plan = PlanColdSends(bound, vms);
      CHECK(plan.m_senders <= vms);
      CHECK(plan.m_per_s >= 0);
      CHECK((plan.m_senders == 0 ||
             (plan.m_senders + kSpareColdSenders) * (plan.m_per_s + 1) <=
                 bound + 1e-9));
    }
  }
  const double bound = ColdBound(kLimits, PlacementSettings());
  CHECK(bound == 38);
  const ColdSendPlan plan = PlanColdSends(bound, 54);
  CHECK(plan.m_senders * plan.m_per_s > kLimits.m_per_s);
}

TEST_CASE("senders are VMs of the upstream's zone, and few change with a VM") {
  const std::vector<SimVm> fleet = MakeFleet(54, 3);
  const std::vector<SenderCandidate> all = View(fleet, {});
  const std::vector<std::string_view> senders =
      ColdSenders("i-7", "zone-1", all, 7);
  REQUIRE(senders.size() == 7);
  for (const std::string_view id : senders) {
    const auto vm = std::find_if(all.begin(), all.end(),
                                 [id](const SenderCandidate& candidate) {
                                   return candidate.m_id == id;
                                 });
    CHECK(vm->m_zone == "zone-1");
  }
  const std::vector<std::string_view> fewer =
      ColdSenders("i-7", "zone-1", View(fleet, {std::string(senders[2])}), 7);
  int kept = 0;
  for (const std::string_view id : fewer) {
    kept += std::find(senders.begin(), senders.end(), id) != senders.end();
  }
  CHECK(kept == 6);
  // VMs of other zones stand in where a zone has too few.
  CHECK(ColdSenders("i-7", "zone-9", all, 7).size() == 7);
  CHECK(ColdSenders("i-7", "zone-1", {}, 7).empty());
}

// All VMs send to all cold upstreams of one zone whenever they may. Returns the
// sends of the busiest window and upstream, and counts all sends in `total`.
struct SimOptions {
  int m_vms = 54;
  int m_upstreams = 16;
  // VMs whose view lacks the two first senders of each upstream.
  int m_vms_with_other_view = 0;
  Millis m_restart_interval;  // one VM restarts each time; zero: none does
  // One VM isn't able to run for this long, once.
  Millis m_freeze;
};

int BusiestWindow(const SimOptions& options, int& total) {
  const std::vector<SimVm> fleet = MakeFleet(options.m_vms, 3);
  const std::vector<SenderCandidate> all = View(fleet, {});
  const ColdSendPlan plan =
      PlanColdSends(ColdBound(kLimits, PlacementSettings()), options.m_vms);
  int busiest = 0;
  total = 0;
  for (int u = 0; u < options.m_upstreams; ++u) {
    const std::string upstream = Concat("i-", u);
    const std::vector<std::string_view> first =
        ColdSenders(upstream, "zone-0", all, plan.m_senders);
    const std::vector<SenderCandidate> other =
        View(fleet, {std::string(first[0]), std::string(first[1])});
    const std::vector<std::string_view> second =
        ColdSenders(upstream, "zone-0", other, plan.m_senders);
    std::vector<ColdPacer> pacers(fleet.size());
    std::deque<Millis> sent;
    size_t restarting = 0;
    int others = options.m_vms_with_other_view;
    std::vector<double> rates(fleet.size(), 0);
    for (size_t vm = 0; vm < fleet.size(); ++vm) {
      const bool is_first =
          std::find(first.begin(), first.end(), fleet[vm].m_id) != first.end();
      const bool is_second = std::find(second.begin(), second.end(),
                                       fleet[vm].m_id) != second.end();
      // The VMs with the other view are those that become senders by it.
      const bool is_added = is_second && !is_first && others > 0;
      others -= is_added ? 1 : 0;
      rates[vm] = is_first || is_added ? plan.m_per_s : 0;
      SetColdRate(pacers[vm], rates[vm], Millis(0));
    }
    for (Millis now; now < kLimits.m_duration; now += Millis(1)) {
      if (options.m_restart_interval > Millis() &&
          now.count() % options.m_restart_interval.count() == 0) {
        restarting = (restarting + 3) % fleet.size();
        pacers[restarting] = ColdPacer();
        SetColdRate(pacers[restarting], rates[restarting], now);
      }
      for (size_t vm = 0; vm < fleet.size(); ++vm) {
        const bool is_frozen = vm % 3 == 0 && now > Millis(2'000) &&
                               now < Millis(2'000) + options.m_freeze;
        if (!is_frozen && HasColdToken(pacers[vm], now)) {
          TakeColdToken(pacers[vm], now);
          sent.push_back(now);
          ++total;
        }
      }
      while (!sent.empty() && now - sent.front() >= kWindow) {
        sent.pop_front();
      }
      busiest = std::max(busiest, static_cast<int>(sent.size()));
    }
  }
  return busiest;
}

// Guards against upstreams that crash as their zone returns in a burst, since
// all VMs send to them at once.
TEST_CASE("a zone that returns cold in a burst gets no more than its bound") {
  const double bound = ColdBound(kLimits, PlacementSettings());
  int total = 0;
  SimOptions options;
  CHECK(BusiestWindow(options, total) <= bound);
  // Nine tenths of what an upstream can serve are used.
  const double served = 0.9 * kLimits.m_per_s * kLimits.m_duration.Seconds();
  CHECK(total >= options.m_upstreams * served);
  options.m_vms_with_other_view = 2;
  CHECK(BusiestWindow(options, total) <= bound);
  options.m_restart_interval = Millis(97);
  CHECK(BusiestWindow(options, total) <= bound);
  options.m_freeze = Millis(3'000);
  CHECK(BusiestWindow(options, total) <= bound);
}

TEST_CASE("small fleets stay within the bound, too") {
  const double bound = ColdBound(kLimits, PlacementSettings());
  for (const int vms : {2, 3, 4, 8, 16}) {
    int total = 0;
    SimOptions options;
    options.m_vms = vms;
    options.m_vms_with_other_view = 2;
    options.m_restart_interval = Millis(150);
    CHECK(BusiestWindow(options, total) <= bound);
  }
}

// Guards against a burst of a VM that could have sent for long, or that becomes
// a sender again and again.
TEST_CASE("a pacer holds one request at most and none after a change") {
  ColdPacer pacer;
  CHECK_FALSE(HasColdToken(pacer, Millis(5'000)));
  SetColdRate(pacer, 4, Millis(5'000));
  CHECK_FALSE(HasColdToken(pacer, Millis(5'249)));
  CHECK(HasColdToken(pacer, Millis(5'250)));
  TakeColdToken(pacer, Millis(60'000));
  CHECK_FALSE(HasColdToken(pacer, Millis(60'249)));
  CHECK(HasColdToken(pacer, Millis(60'250)));
  SetColdRate(pacer, 0, Millis(60'250));
  CHECK_FALSE(HasColdToken(pacer, Millis(90'000)));
  SetColdRate(pacer, 4, Millis(90'000));
  CHECK_FALSE(HasColdToken(pacer, Millis(90'100)));
}

}  // namespace
}  // namespace bronzecross
