// The crowds of hostile_callers_test against the daemon's HTTP ports. The same
// holds: it stays alive, in bounded memory and descriptors, and serves an
// ordinary request.

#include <doctest/doctest.h>

#include <string>

#include "harness/cluster.h"
#include "harness/hostile_inputs.h"

namespace bronzecross {
namespace {

constexpr size_t kCrowd = 100;
constexpr size_t kIdleCrowd = 200;

// Bounds on the process beyond what it has before the crowd, for the settings
// below. Each connection has a thread, whose stack counts.
constexpr int64_t kMaxGrowthMb = 40;
constexpr int kMaxDescriptors = 192;

constexpr std::string_view kMemorySettings = "[http]\nbudget_mb = 8\n";
constexpr std::string_view kConnectionSettings =
    "[http]\nmax_connections = 32\n";

constexpr Millis kStall{700};
constexpr Millis kHold{400};

ClusterOptions OneVm(std::string_view settings) {
  ClusterOptions options;
  options.m_vms = 1;
  options.m_data_vms = 1;
  options.m_settings = std::string(settings);
  return options;
}

void CheckServes(Cluster& cluster) {
  CHECK(cluster.Vm(0).IsRunning());
  ChatRequest request;
  request.m_url = cluster.Url(0);
  request.m_key = Cluster::Key(0);
  request.m_prompt = "after";
  request.m_timeout = Millis(3'000);
  // Each attempt is that of a new caller, with a connection of its own.
  CHECK(WaitFor([&] { return TestCaller().Chat(request).m_correct; }));
}

NetAddress AddressOf(const std::string& url) {
  return ParseNetAddress(url.substr(url.rfind('/') + 1)).value();
}

void CheckMemory(std::string (Cluster::*url)(int) const) {
  for (const HostileInput& input :
       HostileInputs({"/v1/chat/completions", "/v1/models", "/v1/models"})) {
    CAPTURE(input.m_name);
    Cluster cluster(OneVm(kMemorySettings));
    CheckServes(cluster);
    const pid_t pid = cluster.Vm(0).Pid();
    const int64_t before = PeakMemoryMb(pid);
    {
      HostileCrowd crowd(AddressOf((cluster.*url)(0)), pid, kCrowd);
      crowd.Send(input, kStall);
      crowd.Hold(kHold);
      CheckServes(cluster);
    }
    const int64_t growth = PeakMemoryMb(pid) - before;
    MESSAGE(input.m_name, ": ", growth, " MB more than ", before);
    CHECK(growth < kMaxGrowthMb);
  }
}

// Guards against a daemon that ends for lack of memory, since only the body of
// a single request is bounded.
TEST_CASE("the daemon's memory stays bounded at the callers' port") {
  CheckMemory(&Cluster::Url);
}

TEST_CASE("the daemon's memory stays bounded at the operators' port") {
  CheckMemory(&Cluster::AdminUrl);
}

// Guards against idle connections that shut out every other caller for as long
// as they stay open.
TEST_CASE("idle connections to the daemon don't shut out other callers") {
  for (const HostileInput& input :
       {HostileInput{"nothing", "", "", 0},
        HostileInput{"the begin of a request", "POST /", "", 0}}) {
    CAPTURE(input.m_name);
    Cluster cluster(OneVm(kConnectionSettings));
    CheckServes(cluster);
    HostileCrowd crowd(AddressOf(cluster.Url(0)), cluster.Vm(0).Pid(),
                       kIdleCrowd);
    crowd.Send(input, kStall);
    crowd.Hold(kHold);
    MESSAGE(input.m_name, ": ", crowd.PeakDescriptors(), " descriptors");
    CHECK(CountOpenDescriptors(cluster.Vm(0).Pid()) < kMaxDescriptors);
    CheckServes(cluster);
  }
}

}  // namespace
}  // namespace bronzecross
