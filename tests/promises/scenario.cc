#include "promises/scenario.h"

#include <thread>

#include <absl/strings/str_cat.h>

#include "promises/admission_check.h"
#include "promises/fault_plan.h"
#include "promises/fault_runner.h"
#include "promises/history.h"
#include "promises/job_load.h"
#include "promises/online_load.h"
#include "promises/receipt_load.h"

namespace bronzecross {
namespace {

constexpr int kVms = 6;
constexpr int kEngines = 5;
// Workspace 0 hands in jobs and receipts, the last one is over its rate, the
// keys of those between may be withdrawn.
constexpr int kWorkspaces = 6;
constexpr double kRate = 40;
constexpr double kBurst = 20;
constexpr int kOnlineCallers = 4;

ClusterOptions MakeOptions(uint64_t seed) {
  ClusterOptions options;
  options.m_vms = kVms;
  options.m_data_vms = 4;
  options.m_engines.assign(kEngines, EngineOptions());
  options.m_workspaces = kWorkspaces;
  options.m_proxies = true;
  options.m_seed = seed;
  options.m_settings = "[drain]\nnotice_ms = 300\n";
  return options;
}

void CheckAdmissions(const Cluster&, History& history) {
  std::vector<Admission> limited;
  for (const Admission& admission : history.Admissions()) {
    if (admission.m_workspace == absl::StrCat("ws-", kWorkspaces - 1)) {
      limited.push_back(admission);
    }
  }
  const double excess = WorstExcess(limited, kRate, kBurst);
  if (excess > 0) {
    history.AddViolation(
        absl::StrCat("a workspace got ", excess, " requests over its limit"));
  }
}

}  // namespace

ScenarioResult RunScenario(const ScenarioOptions& options) {
  Cluster cluster(MakeOptions(options.m_seed));
  WorkspaceSpec& limited = cluster.GetManifest().m_workspaces.back();
  limited.m_rate_per_s = kRate;
  limited.m_burst = kBurst;
  cluster.Publish();
  const int64_t generation = cluster.GetManifest().m_generation;
  for (int vm = 0; vm < kVms; ++vm) {
    WaitFor([&] {
      return cluster.Status(vm).value("generation", int64_t{0}) == generation;
    });
  }
  History history;
  WithdrawnKeys withdrawn;
  {
    absl::MutexLock lock(&withdrawn.m_mutex);
    withdrawn.m_at.assign(kWorkspaces, Millis(0));
  }
  std::atomic<bool> stopping = false;
  std::vector<SubmittedJob> jobs;
  std::map<std::string, ReceiptFate> receipts;
  std::vector<std::thread> threads;
  for (int i = 0; i < kOnlineCallers; ++i) {
    threads.emplace_back([&, i] {
      RunOnlineCaller({cluster, history, withdrawn, stopping,
                       options.m_seed * 100 + static_cast<uint64_t>(i),
                       kWorkspaces});
    });
  }
  threads.emplace_back([&] { WatchGenerations(cluster, history, stopping); });
  threads.emplace_back([&] {
    jobs = RunJobCaller({cluster, history, stopping, options.m_seed});
  });
  threads.emplace_back([&] {
    receipts = RunReceiptCaller({cluster, history, stopping, options.m_seed});
  });
  const std::vector<Fault> faults =
      DrawFaults(options.m_seed, options.m_length, kVms, kEngines);
  FaultRunner(cluster, history, withdrawn, 1, kWorkspaces - 2)
      .Run(faults, options.m_length);
  stopping = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  for (int vm = 0; vm < kVms; ++vm) {
    if (!cluster.WaitReady(vm, Millis(20'000))) {
      history.AddViolation(
          absl::StrCat(Cluster::VmId(vm), " does not get ready again"));
    }
  }
  CheckReceipts(cluster, history, receipts);
  CheckJobs(cluster, history, jobs);
  CheckAdmissions(cluster, history);
  ScenarioResult result;
  result.m_violations = history.Violations();
  result.m_faults = static_cast<int64_t>(faults.size());
  result.m_requests = history.Requests();
  result.m_items = history.Items();
  return result;
}

}  // namespace bronzecross
