// What the control plane costs each VM while no requests come: processor,
// memory and bytes between VMs (sent and received), by the size of the fleet.

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "harness/cluster.h"
#include "measure/measurement.h"

namespace bronzecross {
namespace {

constexpr Millis kSettle{2000};
constexpr Millis kWindow{5000};

struct ControlCost {
  double m_cpu_pct = 0;
  double m_rss_mb = 0;
  double m_bytes_per_s = 0;
};

struct Sample {
  Millis m_at;
  double m_cpu_seconds = 0;
  double m_bytes = 0;
};

// Processor time of all threads. The scheduler counts it in nanoseconds; the
// ticks of /proc/PID/stat are too coarse for shares of a percent.
double ReadCpuSeconds(pid_t pid) {
  double seconds = 0;
  const std::string tasks = "/proc/" + std::to_string(pid) + "/task";
  std::error_code gone;
  for (const std::filesystem::directory_entry& task :
       std::filesystem::directory_iterator(tasks, gone)) {
    std::ifstream file(task.path() / "schedstat");
    double nanoseconds = 0;
    file >> nanoseconds;
    seconds += nanoseconds / 1e9;
  }
  return seconds;
}

Sample Take(Cluster& cluster, int vm) {
  Sample sample;
  sample.m_bytes = cluster.Status(vm).value("peer_bytes", 0.0);
  sample.m_cpu_seconds = ReadCpuSeconds(cluster.Vm(vm).Pid());
  sample.m_at = MonotonicNow();
  return sample;
}

ControlCost MeasureFleet(int vms) {
  ClusterOptions options;
  options.m_vms = vms;
  options.m_data_vms = 3;
  options.m_vm_list_poll_ms = 1000;
  Cluster cluster(options);
  SleepFor(kSettle);
  std::vector<Sample> before;
  for (int vm = 0; vm < vms; ++vm) {
    before.push_back(Take(cluster, vm));
  }
  SleepFor(kWindow);
  ControlCost cost;
  for (int vm = 0; vm < vms; ++vm) {
    const Sample after = Take(cluster, vm);
    const Sample& first = before[static_cast<size_t>(vm)];
    const double seconds = (after.m_at - first.m_at).Seconds();
    cost.m_cpu_pct +=
        100 * (after.m_cpu_seconds - first.m_cpu_seconds) / seconds / vms;
    cost.m_bytes_per_s += (after.m_bytes - first.m_bytes) / seconds / vms;
    cost.m_rss_mb = std::max(
        cost.m_rss_mb,
        static_cast<double>(ReadUsage(cluster.Vm(vm).Pid()).m_rss_bytes) / 1e6);
  }
  return cost;
}

int MeasureControl(uint64_t) {
  constexpr int kFleets[] = {4, 8, 16, 32};
  std::string line;
  std::vector<ControlCost> costs;
  for (const int vms : kFleets) {
    costs.push_back(MeasureFleet(vms));
    const ControlCost& cost = costs.back();
    char text[128];
    std::snprintf(text, sizeof(text),
                  " cpu_pct_%d=%.2f rss_mb_%d=%.1f bytes_per_s_%d=%.0f", vms,
                  cost.m_cpu_pct, vms, cost.m_rss_mb, vms, cost.m_bytes_per_s);
    line += text;
  }
  const double more = kFleets[3] - kFleets[0];
  std::printf("measure control%s cpu_slope=%.4f bytes_slope=%.1f\n",
              line.c_str(), (costs[3].m_cpu_pct - costs[0].m_cpu_pct) / more,
              (costs[3].m_bytes_per_s - costs[0].m_bytes_per_s) / more);
  return 0;
}

const MeasurementRegistration kRegistration("control", MeasureControl);

}  // namespace
}  // namespace bronzecross
