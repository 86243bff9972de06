// Workspace limits over real VMs that are killed, paused, cut off from the
// others or from the store, and under a changed manifest.

#include <atomic>
#include <thread>

#include <doctest/doctest.h>

#include "harness/cluster.h"
#include "harness/window_check.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr double kRate = 60;
constexpr double kBurst = 30;

ClusterOptions MakeOptions(int vms) {
  ClusterOptions options;
  options.m_vms = vms;
  options.m_data_vms = 0;
  options.m_engines.resize(1);
  options.m_workspaces = 1;
  options.m_rate_per_s = kRate;
  options.m_burst = kBurst;
  return options;
}

int Lookup(Cluster& cluster, const std::string& url, Millis timeout) {
  const Result<HttpAnswer> answer = cluster.Caller().Call(
      "POST", url + "/desk/lookup", Cluster::Key(0), "x", {}, timeout);
  return answer ? answer->m_status : 0;
}

// Callers at every VM that send as fast as they can.
class Flood {
 public:
  explicit Flood(Cluster& cluster) {
    for (int vm = 0; vm < cluster.VmCount(); ++vm) {
      for (int i = 0; i < 2; ++i) {
        m_threads.emplace_back(
            [this, &cluster, url = cluster.Url(vm)] { Send(cluster, url); });
      }
    }
  }
  ~Flood() { Stop(); }

  // Admissions so far.
  std::vector<SeenAdmission> Stop() {
    m_stopping = true;
    for (std::thread& thread : m_threads) {
      thread.join();
    }
    m_threads.clear();
    absl::MutexLock lock(&m_mutex);
    return m_admitted;
  }

 private:
  void Send(Cluster& cluster, const std::string& url) {
    while (!m_stopping) {
      const double sent = CallerNowMs();
      if (Lookup(cluster, url, Millis(20'000)) == 200) {
        absl::MutexLock lock(&m_mutex);
        m_admitted.push_back({sent, CallerNowMs()});
      }
      SleepFor(Millis(4));
    }
  }

  std::atomic<bool> m_stopping = false;
  absl::Mutex m_mutex;
  std::vector<SeenAdmission> m_admitted ABSL_GUARDED_BY(m_mutex);
  std::vector<std::thread> m_threads;
};

// Slots of `holder` as the VM `viewer` knows them.
int64_t SlotsOf(Cluster& cluster, int viewer, int holder) {
  const json status = cluster.Status(viewer);
  if (!status.is_object()) {
    return -1;
  }
  for (const json& entry : status["slots"]["holders"]) {
    if (entry["vm"] == Cluster::VmId(holder)) {
      return entry["slots"];
    }
  }
  return 0;
}

bool WaitSlots(Cluster& cluster, int viewer, int holder, bool some) {
  return WaitFor(
      [&] {
        const int64_t slots = SlotsOf(cluster, viewer, holder);
        return some ? slots > 0 : slots == 0;
      },
      Millis(30'000));
}

bool WaitAllHoldSlots(Cluster& cluster) {
  for (int vm = 0; vm < cluster.VmCount(); ++vm) {
    if (!WaitSlots(cluster, 0, vm, true)) {
      return false;
    }
  }
  return true;
}

}  // namespace

// Guards against wrong refusals when all traffic comes in at one VM.
TEST_CASE("one VM gets the tokens of all") {
  Cluster cluster(MakeOptions(3));
  REQUIRE(WaitAllHoldSlots(cluster));
  SleepFor(Millis(1000));
  int admitted = 0;
  for (int i = 0; i < 24; ++i) {
    admitted += Lookup(cluster, cluster.Url(0), Millis(5000)) == 200 ? 1 : 0;
  }
  CHECK(admitted == 24);
}

// Guards against tokens lost on requests that never reached an upstream.
TEST_CASE("a refusal for want of an upstream costs no token") {
  Cluster cluster(MakeOptions(2));
  REQUIRE(WaitAllHoldSlots(cluster));
  SleepFor(Millis(1000));
  cluster.Service(0).Crash();
  for (int i = 0; i < 120; ++i) {
    const int status = Lookup(cluster, cluster.Url(0), Millis(5000));
    CHECK(status != 200);
    CHECK(status != 429);
  }
}

// Guards against a slot that a paused VM and its successor both use, and
// against a VM that never gets slots again.
TEST_CASE("a paused VM's slots are taken over and no window is exceeded") {
  Cluster cluster(MakeOptions(4));
  REQUIRE(WaitAllHoldSlots(cluster));
  Flood flood(cluster);
  SleepFor(Millis(500));
  cluster.Vm(3).Pause();
  CHECK(WaitSlots(cluster, 0, 3, false));
  SleepFor(Millis(500));
  cluster.Vm(3).Resume();
  CHECK(WaitSlots(cluster, 0, 3, true));
  SleepFor(Millis(500));
  const std::vector<SeenAdmission> admitted = flood.Stop();
  CHECK(admitted.size() > 100);
  CHECK(WorstExcess(admitted, kRate, kBurst) <= 0);
}

// Guards against a rise above a lower rate once every VM has the manifest.
TEST_CASE("a lower rate holds at once") {
  Cluster cluster(MakeOptions(3));
  REQUIRE(WaitAllHoldSlots(cluster));
  Flood flood(cluster);
  SleepFor(Millis(1000));
  cluster.GetManifest().m_workspaces[0].m_rate_per_s = 20;
  cluster.GetManifest().m_workspaces[0].m_burst = 10;
  const int64_t generation = cluster.Publish();
  for (int vm = 0; vm < cluster.VmCount(); ++vm) {
    CHECK(WaitFor([&] {
      return cluster.Status(vm).value("generation", 0) == generation;
    }));
  }
  const double since = CallerNowMs();
  SleepFor(Millis(2000));
  std::vector<SeenAdmission> admitted = flood.Stop();
  std::erase_if(admitted, [since](const SeenAdmission& one) {
    return one.m_sent_ms < since;
  });
  CHECK(admitted.size() > 10);
  CHECK(WorstExcess(admitted, 20, 10) <= 0);
}

}  // namespace bronzecross
